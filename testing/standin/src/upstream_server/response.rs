//! The responses of an upstream's stand-in.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::Frame;
use model::call::{self, BodyError, BodyStream};

/// Path prefix of downloads; the size in bytes follows it.
const DOWNLOAD_PREFIX: &str = "/download/";
/// Maximum size of one frame of a body.
const FRAME_BYTES: usize = 16 * 1024;

/// Builds the response to a request that ran: the bytes of a download, or else the target
/// itself, so that tests can detect a response that belongs to another request.
pub(super) fn build(target: &str, headers: &HeaderMap, truncate: bool) -> Response<BodyStream> {
    let path = target.split('?').next().unwrap_or_default();
    let download_size = path
        .strip_prefix(DOWNLOAD_PREFIX)
        .and_then(|text| text.parse::<usize>().ok());
    let (content, etag) = match download_size {
        Some(size) => (download_bytes(size), format!("\"d{size}\"")),
        None => (Bytes::from(format!("{target}\n")), String::new()),
    };
    let range_start =
        read_range_start(headers).filter(|start| *start < content.len() && download_size.is_some());
    let total = content.len();
    let part = content.slice(range_start.unwrap_or(0)..);
    let length = part.len();
    let mut response = Response::new(streaming_body(&part, truncate));
    if let Some(start) = range_start {
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
        let range = format!("bytes {start}-{}/{total}", total - 1);
        insert_header(response.headers_mut(), &header::CONTENT_RANGE, &range);
    }
    insert_header(
        response.headers_mut(),
        &header::CONTENT_LENGTH,
        &length.to_string(),
    );
    if download_size.is_some() {
        insert_header(response.headers_mut(), &header::ETAG, &etag);
    }
    response
}

/// The content of a download. Each byte depends on its position, so that tests can detect a
/// download that was resumed at the wrong one.
fn download_bytes(size: usize) -> Bytes {
    (0..size)
        .map(|position| u8::try_from(position % 251).unwrap_or(0))
        .collect()
}

fn insert_header(headers: &mut HeaderMap, name: &header::HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// The first byte of an open-ended range, `bytes=START-`; other ranges are ignored.
fn read_range_start(headers: &HeaderMap) -> Option<usize> {
    let text = http1::header::text(headers, header::RANGE.as_str())?;
    text.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok()
}

fn streaming_body(content: &Bytes, truncate: bool) -> BodyStream {
    let sent_bytes = if truncate {
        content.len() / 2
    } else {
        content.len()
    };
    let frames = BodyFrames {
        remaining: content.slice(..sent_bytes),
        truncate,
    };
    BodyStream::new(http_body_util::StreamBody::new(frames))
}

/// The frames of a body; a truncated one ends with an error.
struct BodyFrames {
    remaining: Bytes,
    truncate: bool,
}

impl BodyFrames {
    fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.remaining.is_empty() {
            return self.truncate.then_some(Err(BodyError::Broken));
        }
        let size = self.remaining.len().min(FRAME_BYTES);
        Some(Ok(Frame::data(self.remaining.split_to(size))))
    }
}

impl futures_core::Stream for BodyFrames {
    type Item = Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(self.next())
    }
}

/// A response with status 503 and the header that reports that the request did not run.
pub(super) fn shed() -> Response<BodyStream> {
    let mut response = Response::new(call::empty_body());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    insert_header(
        response.headers_mut(),
        &header::HeaderName::from_static(upstream::wire::SHED),
        "1",
    );
    response
}

/// A response without a body.
pub(super) fn empty(status: StatusCode) -> Response<BodyStream> {
    let mut response = Response::new(call::empty_body());
    *response.status_mut() = status;
    response
}
