//! Adapter to the deployment platform: its settings file, HTTP headers, JSON documents, store and
//! cloud API.
//!
//! The adapter only translates. It converts the platform's names to and from the types of
//! [`gateway`](crate::gateway); no other module knows these names.

mod cloud;
mod documents;
mod headers;
mod http;
mod node_file;
mod store;

pub use self::cloud::CloudApi;
pub use self::documents::Decoder;
pub use self::headers::Headers;
pub use self::node_file::NodeFile;
pub use self::store::LogStore;
