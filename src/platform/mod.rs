//! The platform's host list and cloud API.

mod cloud;
mod host_list;
mod http;

pub use self::cloud::{Cloud, Reclaim};
pub use self::host_list::HostList;
pub use self::http::Http;
