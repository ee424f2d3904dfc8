//! Standard output of the commands.

use std::process::Command;

/// Guards against a panic of a command when the reader of its standard output closes the pipe early,
/// as in `almondpath replay FILE | head`.
#[test]
fn a_closed_output_pipe_causes_no_panic() {
    struct Case {
        args: &'static [&'static str],
    }
    let cases = [
        Case {
            args: &["replay", "traces/canelones-heldout.jsonl"],
        },
        Case {
            args: &[
                "replay",
                "--format",
                "json",
                "traces/canelones-heldout.jsonl",
            ],
        },
    ];
    for Case { args } in cases {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        drop(reader);
        let output = Command::new(env!("CARGO_BIN_EXE_almondpath"))
            .args(args)
            .stdout(writer)
            .output()
            .expect("the program runs");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!errors.contains("panicked"), "{args:?}: {errors}");
        assert_eq!(output.status.code(), Some(1), "{args:?}: {errors}");
    }
}
