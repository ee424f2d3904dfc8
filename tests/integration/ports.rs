//! Tests of the port reservation in the test harness.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use crate::harness::free_address;

/// Guards against tests that fail because their port is in use: when a process is forked while
/// [`free_address`] checks a port, the child inherits the socket until it calls `exec`. If that
/// socket listens, the port stays in use after it was found free.
#[test]
fn a_free_address_can_be_bound_while_processes_start() {
    const SPAWNING_THREADS: usize = 8;
    const BINDS: usize = 300;
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    run_child_process();
                }
            });
        }
        let failed: Vec<_> = (0..BINDS)
            .filter_map(|_| TcpListener::bind(free_address()).err())
            .collect();
        done.store(true, Ordering::Relaxed);
        assert!(
            failed.is_empty(),
            "{} of {BINDS} binds failed: {failed:?}",
            failed.len()
        );
    });
}

fn run_child_process() {
    let status = Command::new(env!("CARGO_BIN_EXE_almondpath"))
        .arg("--version")
        .stdout(Stdio::null())
        .status()
        .expect("the program starts");
    assert!(status.success(), "{status}");
}
