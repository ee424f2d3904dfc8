//! The configuration of a deployment: services, routes and client accounts.
//!
//! It is generated from a questionnaire and published to the `control` stream, which every node
//! follows.

mod account;
mod config;
mod route;
mod service;

pub use self::account::Account;
pub use self::config::{Config, FORMAT, Weights};
pub use self::route::{Class, Route};
pub use self::service::{Kind, Service};
