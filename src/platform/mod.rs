//! The adapter to the platform that the users run: its settings, headers, documents, store and
//! cloud interface.
//!
//! It only translates. Each name of the platform is decoded here once into the types of
//! [`gateway`](crate::gateway); nothing outside this module knows the platform's names.

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
