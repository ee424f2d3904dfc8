//! Test doubles of the platform's services, and gateway processes that run against them.

mod caller;
mod cloud;
mod deployment;
mod engine;
mod http;
mod script;
mod store;

pub(crate) use self::caller::{Caller, Request, Response};
pub(crate) use self::cloud::Cloud;
pub(crate) use self::deployment::{Deployment, Gateway, Host, config};
pub(crate) use self::engine::{Behaviour, End, Engine, Framing};
pub(crate) use self::script::{Change, Script, ScriptedEndpoint};
pub(crate) use self::store::{Content, Faults, Store};
