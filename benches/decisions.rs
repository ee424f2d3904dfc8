//! Benches.
fn main() {}
