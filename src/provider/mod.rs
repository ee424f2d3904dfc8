//! Interfaces of the platform that provides hosts: traits, and their HTTP clients.

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
