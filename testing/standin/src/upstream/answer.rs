//! The answers of an upstream's stand-in.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::Frame;
use model::call::{self, BodyError, BodyStream};

/// Path prefix of downloads; the number of bytes follows.
const DOWNLOAD_PREFIX: &str = "/download/";
/// Bytes of one frame of a download.
const FRAME_BYTES: usize = 16 * 1024;

/// The whole answer to a request: its path, or the bytes of a download.
pub(super) fn build(target: &str, headers: &HeaderMap, truncate: bool) -> Response<BodyStream> {
    let path = target.split('?').next().unwrap_or_default();
    let size = path
        .strip_prefix(DOWNLOAD_PREFIX)
        .and_then(|text| text.parse::<usize>().ok());
    let (content, tag) = match size {
        Some(size) => (download(size), format!("\"d{size}\"")),
        None => (Bytes::from(format!("{target}\n")), String::new()),
    };
    let from = read_range(headers).filter(|from| *from < content.len() && size.is_some());
    let total = content.len();
    let part = content.slice(from.unwrap_or(0)..);
    let length = part.len();
    let mut response = Response::new(body_of(&part, truncate));
    if let Some(from) = from {
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
        let range = format!("bytes {from}-{}/{total}", total - 1);
        put(response.headers_mut(), &header::CONTENT_RANGE, &range);
    }
    put(
        response.headers_mut(),
        &header::CONTENT_LENGTH,
        &length.to_string(),
    );
    if size.is_some() {
        put(response.headers_mut(), &header::ETAG, &tag);
    }
    response
}

/// The bytes of a download: the position of each, so that a wrong joint shows.
pub(super) fn download(size: usize) -> Bytes {
    (0..size)
        .map(|position| u8::try_from(position % 251).unwrap_or(0))
        .collect()
}

fn put(headers: &mut HeaderMap, name: &header::HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

fn read_range(headers: &HeaderMap) -> Option<usize> {
    let text = http1::header::text(headers, header::RANGE.as_str())?;
    text.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok()
}

fn body_of(content: &Bytes, truncate: bool) -> BodyStream {
    let kept = if truncate {
        content.len() / 2
    } else {
        content.len()
    };
    let frames = Frames {
        left: content.slice(..kept),
        truncate,
    };
    BodyStream::new(http_body_util::StreamBody::new(frames))
}

/// Frames of a body; a truncated one breaks after half of the bytes.
struct Frames {
    left: Bytes,
    truncate: bool,
}

impl Frames {
    fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.left.is_empty() {
            return self.truncate.then_some(Err(BodyError::Broken));
        }
        let size = self.left.len().min(FRAME_BYTES);
        Some(Ok(Frame::data(self.left.split_to(size))))
    }
}

impl futures_core::Stream for Frames {
    type Item = Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(self.next())
    }
}

/// A refusal that did not run the request.
pub(super) fn shed() -> Response<BodyStream> {
    let mut response = Response::new(call::empty_body());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    put(
        response.headers_mut(),
        &header::HeaderName::from_static(upstream::wire::SHED),
        "1",
    );
    response
}

/// An answer without content.
pub(super) fn plain(status: StatusCode) -> Response<BodyStream> {
    let mut response = Response::new(call::empty_body());
    *response.status_mut() = status;
    response
}
