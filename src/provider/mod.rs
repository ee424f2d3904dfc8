//! What the system asks of the platform: traits, and drivers that speak HTTP.

mod cloud;
mod host_control;
mod host_list;
mod http;
mod orders;

pub use self::cloud::{Cloud, Reclaim};
pub use self::host_control::{HostControl, StartHost, WeightStore};
pub use self::host_list::HostList;
pub use self::http::Http;
pub use self::orders::{FencedOrder, HttpOrders, Order, Orders};
