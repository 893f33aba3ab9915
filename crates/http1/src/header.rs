//! Header helpers: hop-by-hop headers, which are never forwarded, and header text.

use http::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop headers, besides those listed in `Connection`.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers, including those that `Connection` lists, except for the ones
/// that are always `end_to_end`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, end_to_end: impl Fn(&HeaderName) -> bool) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !end_to_end(name))
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Whether `Connection` says that the connection closes after the message.
pub fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Whether a body has a transfer coding other than chunks. hyper removes the chunks alone, so
/// what is left would be taken for the body itself.
pub fn has_other_transfer_coding(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let is_chunked = |coding: &[u8]| coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    match (codings.next(), codings.next()) {
        (None, _) => false,
        (Some(coding), None) => !is_chunked(coding),
        (Some(_), Some(_)) => true,
    }
}

/// The first value of a header as text; none when it is missing or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
