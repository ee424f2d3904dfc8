//! What the system asks of the platform: traits, and drivers that speak HTTP.

mod orders;

pub use self::orders::{Fenced, HttpOrders, Order, Orders};
