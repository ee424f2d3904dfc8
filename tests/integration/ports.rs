//! Ports of the tests themselves.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use crate::harness::free_address;

/// Guards against a failure of the tests that is none of the program: a process that starts while a
/// port is examined inherits the listening socket until it runs its program, and the port that was
/// found free is in use.
#[test]
fn a_free_address_can_be_bound_while_processes_start() {
    const STARTERS: usize = 8;
    const BINDS: usize = 300;
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    start_and_wait();
                }
            });
        }
        let failed: Vec<_> = (0..BINDS)
            .filter_map(|_| TcpListener::bind(free_address()).err())
            .collect();
        done.store(true, Ordering::Relaxed);
        assert!(failed.is_empty(), "{} of {BINDS}: {failed:?}", failed.len());
    });
}

fn start_and_wait() {
    let status = Command::new(env!("CARGO_BIN_EXE_almondpath"))
        .arg("--version")
        .stdout(Stdio::null())
        .status()
        .expect("the program starts");
    assert!(status.success(), "{status}");
}
