//! What the system asks of the platform: traits, and drivers that speak HTTP.

mod cloud;
mod host_list;
mod http;
mod orders;
mod starts;

pub use self::cloud::{Cloud, Reclaim};
pub use self::host_list::HostList;
pub use self::http::Http;
pub use self::orders::{Fenced, HttpOrders, Order, Orders};
pub use self::starts::{StartHost, Starts, Weights};
