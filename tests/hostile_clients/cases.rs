use tokio::sync::{Mutex, MutexGuard};

use crate::client::{BODY_BYTES, Client};
use crate::crowd::Crowd;
use crate::platform::Request;

/// Held by the test that runs, so that no other one adds load.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Requests that the process may have in flight, by its descriptors.
const REQUESTS: usize = 90;

/// Connections of a crowd that opens more of them than the process may have descriptors.
const CONNECTIONS: usize = 500;

/// Sizes of responses, in bytes.
const SMALL: usize = 100;
const LARGE: usize = 5_000_000;

/// Waits until no other test of this program runs.
pub(crate) async fn running() -> MutexGuard<'static, ()> {
    RUNNING.lock().await
}

async fn visit(client: Client, size: usize, response_bytes: usize) {
    let _running = running().await;
    let crowd = Crowd {
        client,
        size,
        response_bytes,
    };
    crowd.visit().await;
}

/// Guards against limits that a single caller inside those of the configuration meets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_at_the_limits_is_served() {
    let _running = running().await;
    let crowd = Crowd {
        client: Client::Silence,
        size: 0,
        response_bytes: LARGE,
    };
    let deployment = crowd.deployment().await;
    let mut request = Request::new("/safe/x");
    request.body = "x".repeat(BODY_BYTES).leak();
    request.headers = (0..60)
        .map(|number| (&*format!("x-field-{number}").leak(), "y".repeat(1_000)))
        .collect();
    let response = deployment.gateways[0].send(&request).await;
    let response = response.expect("a response");
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.body.len(), LARGE);
}

/// Defines a test of a crowd at all doors.
macro_rules! crowds {
    ($($name:ident: $client:ident, $size:expr, $response:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                visit(Client::$client, $size, $response).await;
            }
        )*
    };
}

crowds! {
    bodies_short_of_their_end: Body, REQUESTS, SMALL;
    bodies_without_a_go_ahead: BodyAfterExpect, REQUESTS, SMALL;
    bodies_in_small_pieces: Pieces, REQUESTS, SMALL;
    bodies_in_one_chunk: Chunk, REQUESTS, SMALL;
    bodies_in_small_chunks: Chunks, REQUESTS, SMALL;
    bodies_over_the_limit: TooLarge, REQUESTS, SMALL;
    chunks_over_the_limit: LargeChunk, REQUESTS, SMALL;
    endless_chunk_extensions: Extension, REQUESTS, SMALL;
    endless_trailers: Trailers, REQUESTS, SMALL;
    heads_of_many_fields: Fields, 350, SMALL;
    endless_heads: EndlessHead, 350, SMALL;
    heads_short_of_their_end: PartOfHead, CONNECTIONS, SMALL;
    silent_connections: Silence, CONNECTIONS, SMALL;
    requests_sent_ahead: RequestsAhead, 12, SMALL;
    callers_that_never_read: NeverReads, 60, LARGE;
    callers_that_read_slowly: ReadsSlowly, 60, LARGE;
}
