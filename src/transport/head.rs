use hyper::{Response, StatusCode, Version, header};

use crate::error::{Error, ErrorKind};

/// Checks that the head of a response has a final status that HTTP defines, and that it delimits the
/// body in a way that this client decodes.
///
/// # Errors
///
/// `MayHaveRun` if no caller may get the response.
pub fn check_head<B>(response: &Response<B>) -> Result<(), Error> {
    let status = response.status();
    let failed = |reason: String| Err(Error::may_have_run(ErrorKind::EndpointFailed, reason));
    if !(200..=599).contains(&status.as_u16()) {
        return failed(format!("the response has the invalid status {status}"));
    }
    if !matches!(response.version(), Version::HTTP_10 | Version::HTTP_11) {
        return failed(format!("the response is in {:?}", response.version()));
    }
    let headers = response.headers();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    // The client undoes the last encoding only.
    let is_chunked = encodings
        .next()
        .is_some_and(|encoding| encoding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if headers.contains_key(header::TRANSFER_ENCODING)
        && (!is_chunked || encodings.next().is_some())
    {
        return failed("the response has an unknown transfer encoding".to_owned());
    }
    let length = headers.get(header::CONTENT_LENGTH);
    let has_body = is_chunked || length.is_some_and(|length| length != "0");
    if status == StatusCode::NO_CONTENT && has_body {
        return failed(format!(
            "the response has a body in spite of its status {status}"
        ));
    }
    Ok(())
}
