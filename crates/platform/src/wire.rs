//! The encoding of the object API: HTTP/1.1 with versions as entity tags, and JSON for
//! lists, watches and the VM list.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use model::{error, sizes};

use crate::channel::BufferedResponse;
use crate::object::{Condition, ObjectName, ObjectPage, StoredObject, WatchResponse};

/// Path of the list of objects, and prefix of the paths of single objects.
pub const OBJECTS_PATH: &str = "/objects";
/// Path of the watch for changes.
pub const WATCH_PATH: &str = "/watch";
/// Path of the VM list.
pub const VMS_PATH: &str = "/vms";

model::record! {
    /// An object in a page of a list.
    pub struct ListedObject {
        /// The name of the object.
        pub name: Arc<str>,
        /// The version that was read.
        pub version: sizes::ObjectVersion,
        /// The content, which must be UTF-8 text.
        pub body: String,
    }

    /// One page of a list, as JSON.
    pub struct ListPage {
        /// The objects, sorted by name.
        pub objects: Vec<ListedObject>,
        /// Whether further pages follow.
        pub more: bool,
    }
}

/// Formats a version as an entity tag, with its quotes.
pub fn format_etag(version: sizes::ObjectVersion) -> String {
    format!("\"{version}\"")
}

/// Parses a version from an entity tag; none if it is not a quoted version.
pub fn parse_etag(tag: &str) -> Option<sizes::ObjectVersion> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

fn request_builder(method: Method, target: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(target)
        .header(header::HOST, "platform")
}

fn build_request(builder: http::request::Builder, body: Bytes) -> RequestResult {
    builder
        .body(body)
        .map_err(|error| error::FleetError::new(error::ErrorKind::Invalid, error.to_string()))
}

type RequestResult = Result<Request<Bytes>, error::FleetError>;

pub(crate) fn get(name: &ObjectName) -> RequestResult {
    let target = format!("{OBJECTS_PATH}/{name}");
    build_request(request_builder(Method::GET, &target), Bytes::new())
}

pub(crate) fn put(name: &ObjectName, body: Bytes, condition: Condition) -> RequestResult {
    let builder = request_builder(Method::PUT, &format!("{OBJECTS_PATH}/{name}"));
    let builder = match condition {
        Condition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
        Condition::Version(version) => builder.header(header::IF_MATCH, format_etag(version)),
    };
    build_request(builder, body)
}

pub(crate) fn delete(name: &ObjectName, version: sizes::ObjectVersion) -> RequestResult {
    let builder = request_builder(Method::DELETE, &format!("{OBJECTS_PATH}/{name}"));
    build_request(
        builder.header(header::IF_MATCH, format_etag(version)),
        Bytes::new(),
    )
}

pub(crate) fn list(prefix: &str, after: &str) -> RequestResult {
    let target = format!("{OBJECTS_PATH}?prefix={prefix}&after={after}");
    build_request(request_builder(Method::GET, &target), Bytes::new())
}

pub(crate) fn watch(prefix: &str, since: u64, wait: Duration) -> RequestResult {
    let wait = wait.as_millis();
    let target = format!("{WATCH_PATH}?prefix={prefix}&since={since}&wait_ms={wait}");
    build_request(request_builder(Method::GET, &target), Bytes::new())
}

pub(crate) fn vms() -> RequestResult {
    build_request(request_builder(Method::GET, VMS_PATH), Bytes::new())
}

fn version_header(response: &BufferedResponse) -> Option<sizes::ObjectVersion> {
    let tag = response.headers.get(header::ETAG)?;
    parse_etag(tag.to_str().ok()?)
}

pub(crate) fn read_object(
    name: &ObjectName,
    response: BufferedResponse,
) -> Result<Option<StoredObject>, error::FleetError> {
    match (response.status.as_u16(), version_header(&response)) {
        (200, Some(version)) => Ok(Some(StoredObject {
            name: name.clone(),
            version,
            body: response.body,
        })),
        (404, _) => Ok(None),
        _ => Err(unexpected_status(&response)),
    }
}

pub(crate) fn read_written(
    response: &BufferedResponse,
) -> Result<sizes::ObjectVersion, error::FleetError> {
    match (response.status.as_u16(), version_header(response)) {
        (200 | 201, Some(version)) => Ok(version),
        (412, _) => Err(error::FleetError::new(
            error::ErrorKind::Conflict,
            "the object has another version",
        )),
        (400..500, _) => Err(unexpected_status(response)),
        _ => Err(error::FleetError::new(
            error::ErrorKind::WriteUnknown,
            format!("the platform responded with status {}", response.status),
        )),
    }
}

pub(crate) fn read_deleted(response: &BufferedResponse) -> Result<(), error::FleetError> {
    match response.status.as_u16() {
        204 | 404 => Ok(()),
        412 => Err(error::FleetError::new(
            error::ErrorKind::Conflict,
            "the object has another version",
        )),
        _ => Err(unexpected_status(response)),
    }
}

pub(crate) fn read_page(response: &BufferedResponse) -> Result<ObjectPage, error::FleetError> {
    let page: ListPage = read_json(response)?;
    let objects = page.objects.into_iter().map(|listed| {
        let name = listed.name.parse().map_err(|error: error::ValueError| {
            error::FleetError::new(error::ErrorKind::PlatformUnavailable, error.to_string())
        })?;
        Ok(StoredObject {
            name,
            version: listed.version,
            body: Bytes::from(listed.body),
        })
    });
    Ok(ObjectPage {
        objects: objects.collect::<Result<_, _>>()?,
        more: page.more,
    })
}

pub(crate) fn read_watch(response: &BufferedResponse) -> Result<WatchResponse, error::FleetError> {
    read_json(response)
}

pub(crate) fn read_json<T: serde::de::DeserializeOwned>(
    response: &BufferedResponse,
) -> Result<T, error::FleetError> {
    if response.status != http::StatusCode::OK {
        return Err(unexpected_status(response));
    }
    serde_json::from_slice(&response.body).map_err(|error| {
        let detail = format!("cannot decode the platform's response: {error}");
        error::FleetError::new(error::ErrorKind::PlatformUnavailable, detail)
    })
}

fn unexpected_status(response: &BufferedResponse) -> error::FleetError {
    let detail = format!("the platform responded with status {}", response.status);
    error::FleetError::new(error::ErrorKind::PlatformUnavailable, detail)
}
