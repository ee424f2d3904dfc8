//! Callers that do not stay inside the limits, against a gateway process with little memory and few
//! file descriptors. The tests run one at a time, in a program of their own.

mod cases;
mod client;
mod crowd;
mod door;
mod fuzz;
#[allow(dead_code, reason = "shared with the other tests")]
#[path = "../integration/harness.rs"]
mod harness;
#[allow(dead_code, unused_imports, reason = "shared with the other tests")]
#[path = "../integration/platform/mod.rs"]
mod platform;
