use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use eyre::WrapErr;
use hyper::Method;
use hyper::header::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::transport;

/// Timeout of a request to a node. Publishing reads the log several times before it responds.
const TIMEOUT: Millis = Millis(15_000);

/// An HTTP client for the `admin` addresses of nodes, authenticated with an operator's token.
#[derive(Debug)]
pub(super) struct AdminClient {
    http: transport::Client,
    addresses: Vec<SocketAddr>,
    token: Arc<str>,
}

impl AdminClient {
    /// Returns the definitions of the arguments `--admin` and `--token-file`.
    pub(super) fn args(required: bool) -> [Arg; 2] {
        [
            Arg::new("admin")
                .long("admin")
                .value_name("ADDRESS")
                .required(required)
                .requires("token-file")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Admin address of a node; repeatable"),
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the operator's token"),
        ]
    }

    /// Creates a client from the arguments that [`AdminClient::args`] defines.
    pub(super) fn new(args: &ArgMatches) -> eyre::Result<Self> {
        let addresses = args.get_many::<SocketAddr>("admin").into_iter().flatten();
        let file = args
            .get_one::<PathBuf>("token-file")
            .expect("required by clap");
        let token = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("reading {}", file.display()))?;
        Ok(Self {
            http: transport::Client::new(TIMEOUT),
            addresses: addresses.copied().collect(),
            token: token.trim().into(),
        })
    }

    /// Returns the admin addresses of the nodes.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Gets a JSON document from a node.
    pub(super) async fn get<T>(&self, address: SocketAddr, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.send(Method::GET, address, path, Bytes::new()).await
    }

    /// Posts a JSON document to the nodes in order until one is available, and returns its response.
    pub(super) async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, Error>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        let mut last_error = Error::not_run(ErrorKind::Unavailable, "no node address was given");
        for address in &self.addresses {
            let body = Bytes::from(body.clone());
            match self.send(Method::POST, *address, path, body).await {
                Err(error) if error.kind() == ErrorKind::Unavailable => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn send<T>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut request = self.http.request(method, address, path, body)?;
        let value = HeaderValue::from_str(&format!("Bearer {}", self.token)).map_err(|_| {
            Error::not_run(
                ErrorKind::Malformed,
                "the token is not a valid header value",
            )
        })?;
        request.headers_mut().insert("authorization", value);
        self.http.json(request).await
    }
}
