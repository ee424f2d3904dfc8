//! The configuration in force: services, routes and client accounts.
//!
//! It is generated from a questionnaire, published to the `control` stream and read by every node.

mod account;
mod config;
mod route;
mod service;

pub use self::account::Account;
pub use self::config::{Config, FORMAT, Weights};
pub use self::route::{Class, Route};
pub use self::service::{Kind, Service};
