//! The endpoints of all services, and the HTTP messages exchanged with model engines.

mod departures;
mod endpoint;
mod generate;
mod split;
mod table;
mod transfer;

pub use self::endpoint::{Endpoint, Host, Load, State};
pub use self::generate::{Done, Generate, Start, Token};
pub use self::split::Split;
pub use self::table::{Key, Table};
pub use self::transfer::{Export, Import};
