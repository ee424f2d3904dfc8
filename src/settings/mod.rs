//! Settings of one node process, read from a YAML file at start.

mod node;

pub use self::node::Node;
