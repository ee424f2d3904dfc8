use capnp::capability::Client;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::metered_stream::MeteredStream;

/// Maximum size of a message in words of 8 bytes: 8 MiB, as for the bodies of HTTP requests.
const MAX_MESSAGE_WORDS: usize = 1024 * 1024;

/// Creates the RPC system of a connection.
pub(super) fn system(stream: TcpStream, side: Side, bootstrap: Option<Client>) -> RpcSystem<Side> {
    // Nagle's algorithm delays small messages; a failure to disable it has no other effect.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let network = twoparty::VatNetwork::new(
        MeteredStream::received(reader.compat()),
        MeteredStream::sent(writer.compat_write()),
        side,
        options,
    );
    let mut system = RpcSystem::new(Box::new(network), bootstrap);
    // The caller of a method gets errors in its result.
    system.set_background_error_handler(|_| {});
    system
}
