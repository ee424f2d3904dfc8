//! Any bytes that an endpoint writes give its caller the whole response, or one that does not look
//! whole.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use tokio::runtime::{Handle, Runtime};

use crate::gateway_malformed::{BODY, ROUTES, Scripted, is_whole};
use crate::harness::seeded_config;
use crate::platform::{Change, End, Script};

/// Random responses for each route.
const CASES: u32 = 40;

const RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 X\r\n{headers}Content-Length: 21\r\n\r\nid: 0\ndata: piece 0\n\n",
    "HTTP/1.1 200 X\r\n{headers}Transfer-Encoding: chunked\r\n\r\n6\r\nid: 0\n\r\nf\r\ndata: piece 0\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n{headers}\r\n15;x=y\r\nid: 0\ndata: piece 0\n\n\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.1 200 X\r\n{headers}\r\nid: 0\ndata: piece 0\n\n",
];

#[derive(Clone, Debug)]
struct Case {
    response: usize,
    change: Change,
    pause_at: f64,
    pause_ms: u64,
    end: End,
}

impl Case {
    fn script(&self) -> Script {
        Script::new(RESPONSES[self.response], self.end)
            .change(self.change)
            .pause(self.pause_at, Duration::from_millis(self.pause_ms))
    }

    /// Returns whether the response is whole whatever happens to its connection.
    fn is_intact(&self) -> bool {
        let is_delimited = self.response < RESPONSES.len() - 1;
        matches!(self.change, Change::Nothing) && (is_delimited || self.end != End::Reset)
    }
}

fn cases() -> impl Strategy<Value = Case> {
    let change = prop_oneof![
        1 => Just(Change::Nothing),
        3 => (0.0..1.0).prop_map(Change::Cut),
        3 => (0.0..1.0, 0.0..1.0).prop_map(|(from, to)| Change::Repeat(from, to)),
    ];
    let end = prop_oneof![Just(End::Close), Just(End::Reset), Just(End::Finish)];
    (0..RESPONSES.len(), change, 0.0..1.0, 0..8_u64, end).prop_map(
        |(response, change, pause_at, pause_ms, end)| Case {
            response,
            change,
            pause_at,
            pause_ms,
            end,
        },
    )
}

/// Returns the body that the bytes of a connection contain as a whole, read as RFC 9112 says.
fn whole_body(mut bytes: &[u8], end: End) -> Option<Vec<u8>> {
    loop {
        let (status, headers) = read_head(&mut bytes)?;
        if status.starts_with('1') {
            continue;
        }
        let values = |name: &str| -> Vec<String> {
            let named = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
            named.map(|(_, value)| value.clone()).collect()
        };
        let encodings = values("transfer-encoding");
        let mut lengths = values("content-length");
        lengths.dedup();
        return match (&*encodings, &*lengths) {
            ([], []) => (end != End::Reset).then(|| bytes.to_vec()),
            ([], [length]) => Some(bytes.get(..length.parse().ok()?)?.to_vec()),
            ([encoding], []) if encoding == "chunked" => read_chunks(bytes),
            _ => None,
        };
    }
}

/// Takes a line from the start of the bytes.
fn read_line(bytes: &mut &[u8]) -> Option<String> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = std::str::from_utf8(&bytes[..end]).ok()?;
    let line = line.strip_suffix('\r').unwrap_or(line).to_owned();
    *bytes = &bytes[end + 1..];
    (!line.contains('\r')).then_some(line)
}

/// Takes a head from the start of the bytes; returns its status and its headers.
fn read_head(bytes: &mut &[u8]) -> Option<(String, Vec<(String, String)>)> {
    let mut line = read_line(bytes)?;
    while line.is_empty() {
        line = read_line(bytes)?;
    }
    let status = line.strip_prefix("HTTP/1.1 ")?;
    let status = status.split(' ').next().filter(|code| code.len() == 3)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(bytes)?;
        if line.is_empty() {
            return Some((status.to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Returns the body in these chunks, up to the end of the trailers.
fn read_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(&mut bytes)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            while !read_line(&mut bytes)?.is_empty() {}
            return Some(body);
        }
        body.extend_from_slice(bytes.get(..size)?);
        bytes = bytes.get(size..)?.strip_prefix(b"\r\n")?;
    }
}

/// Sends requests to a route whose endpoint writes random responses.
fn check_route(runtime: &Handle, path: &'static str, service: &str) {
    let mut scripted = runtime.block_on(Scripted::start(path, service));
    // A stream that may resume waits for another endpoint until then.
    scripted.request.deadline_ms = 1_000;
    let run = |case: Case| {
        let response = runtime.block_on(scripted.send(case.script()));
        let written = scripted.endpoint.written();
        let whole = response.as_ref().filter(|response| is_whole(response));
        let body = whole.map(|response| response.body.clone().into_bytes());
        if body.is_some() {
            let text = String::from_utf8_lossy(&written);
            prop_assert_eq!(&body, &whole_body(&written, case.end), "{}", text);
        }
        let is_served = body.is_some_and(|body| body == BODY.as_bytes());
        prop_assert!(is_served || !case.is_intact(), "{:?}", response);
        Ok(())
    };
    let result = TestRunner::new(seeded_config(CASES)).run(&cases(), run);
    result.unwrap_or_else(|failure| panic!("{path}: {failure}"));
}

/// Guards against a response that is cut, repeated in part or delayed at any byte, and that a caller
/// takes for a whole one.
#[test]
fn whatever_an_endpoint_writes_no_part_of_it_looks_whole() {
    let runtime = Runtime::new().expect("a runtime");
    std::thread::scope(|scope| {
        for (path, service) in ROUTES {
            let handle = runtime.handle();
            scope.spawn(move || check_route(handle, path, service));
        }
    });
}
