//! Settings of a node process, read from a YAML file at startup.

mod node;

pub use self::node::Node;
