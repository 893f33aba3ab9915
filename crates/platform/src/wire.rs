//! The encoding of the object API: HTTP/1.1 with entity tags, JSON for lists.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use model::{error, sizes};

use crate::channel::WholeAnswer;
use crate::object::{Condition, ObjectName, ObjectPage, StoredObject, WatchAnswer};

/// Path under which objects stand.
pub const OBJECTS_PATH: &str = "/objects";
/// Path of the watch.
pub const WATCH_PATH: &str = "/watch";
/// Path of the VM list.
pub const VMS_PATH: &str = "/vms";

model::record! {
    /// An object within a list.
    pub struct ListedObject {
        /// Its name.
        pub name: Arc<str>,
        /// Its version.
        pub version: sizes::ObjectVersion,
        /// Its bytes, which must be text.
        pub body: String,
    }

    /// One page of a list.
    pub struct ListPage {
        /// Objects in the order of their names.
        pub objects: Vec<ListedObject>,
        /// Whether more follow.
        pub more: bool,
    }
}

/// Writes a version as an entity tag.
pub fn tag_of(version: sizes::ObjectVersion) -> String {
    format!("\"{version}\"")
}

/// Reads a version from an entity tag.
pub fn version_of(tag: &str) -> Option<sizes::ObjectVersion> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

fn request(method: Method, target: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(target)
        .header(header::HOST, "platform")
}

fn finish(builder: http::request::Builder, body: Bytes) -> RequestResult {
    builder
        .body(body)
        .map_err(|why| error::FleetError::new(error::ErrorKind::Invalid, why.to_string()))
}

type RequestResult = Result<Request<Bytes>, error::FleetError>;

pub(crate) fn get(name: &ObjectName) -> RequestResult {
    let target = format!("{OBJECTS_PATH}/{name}");
    finish(request(Method::GET, &target), Bytes::new())
}

pub(crate) fn put(name: &ObjectName, body: Bytes, condition: Condition) -> RequestResult {
    let builder = request(Method::PUT, &format!("{OBJECTS_PATH}/{name}"));
    let builder = match condition {
        Condition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
        Condition::Version(version) => builder.header(header::IF_MATCH, tag_of(version)),
    };
    finish(builder, body)
}

pub(crate) fn delete(name: &ObjectName, version: sizes::ObjectVersion) -> RequestResult {
    let builder = request(Method::DELETE, &format!("{OBJECTS_PATH}/{name}"));
    finish(
        builder.header(header::IF_MATCH, tag_of(version)),
        Bytes::new(),
    )
}

pub(crate) fn list(prefix: &str, after: &str) -> RequestResult {
    let target = format!("{OBJECTS_PATH}?prefix={prefix}&after={after}");
    finish(request(Method::GET, &target), Bytes::new())
}

pub(crate) fn watch(prefix: &str, since: u64, wait: Duration) -> RequestResult {
    let wait = wait.as_millis();
    let target = format!("{WATCH_PATH}?prefix={prefix}&since={since}&wait_ms={wait}");
    finish(request(Method::GET, &target), Bytes::new())
}

pub(crate) fn vms() -> RequestResult {
    finish(request(Method::GET, VMS_PATH), Bytes::new())
}

fn version_header(answer: &WholeAnswer) -> Option<sizes::ObjectVersion> {
    let tag = answer.headers.get(header::ETAG)?;
    version_of(tag.to_str().ok()?)
}

pub(crate) fn read_object(
    name: &ObjectName,
    answer: WholeAnswer,
) -> Result<Option<StoredObject>, error::FleetError> {
    match (answer.status.as_u16(), version_header(&answer)) {
        (200, Some(version)) => Ok(Some(StoredObject {
            name: name.clone(),
            version,
            body: answer.body,
        })),
        (404, _) => Ok(None),
        _ => Err(unexpected(&answer)),
    }
}

pub(crate) fn read_written(
    answer: &WholeAnswer,
) -> Result<sizes::ObjectVersion, error::FleetError> {
    match (answer.status.as_u16(), version_header(answer)) {
        (200 | 201, Some(version)) => Ok(version),
        (412, _) => Err(error::FleetError::new(
            error::ErrorKind::Conflict,
            "the object has another version",
        )),
        (400..500, _) => Err(unexpected(answer)),
        _ => Err(error::FleetError::new(
            error::ErrorKind::WriteUnknown,
            format!("the platform answered {}", answer.status),
        )),
    }
}

pub(crate) fn read_deleted(answer: &WholeAnswer) -> Result<(), error::FleetError> {
    match answer.status.as_u16() {
        204 | 404 => Ok(()),
        412 => Err(error::FleetError::new(
            error::ErrorKind::Conflict,
            "the object has another version",
        )),
        _ => Err(unexpected(answer)),
    }
}

pub(crate) fn read_page(answer: &WholeAnswer) -> Result<ObjectPage, error::FleetError> {
    let page: ListPage = read_json(answer)?;
    let objects = page.objects.into_iter().map(|listed| {
        let name = listed.name.parse().map_err(|why: error::ValueError| {
            error::FleetError::new(error::ErrorKind::PlatformUnavailable, why.to_string())
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

pub(crate) fn read_watch(answer: &WholeAnswer) -> Result<WatchAnswer, error::FleetError> {
    read_json(answer)
}

pub(crate) fn read_json<T: serde::de::DeserializeOwned>(
    answer: &WholeAnswer,
) -> Result<T, error::FleetError> {
    if answer.status != http::StatusCode::OK {
        return Err(unexpected(answer));
    }
    serde_json::from_slice(&answer.body).map_err(|why| {
        let detail = format!("the platform's answer cannot be read: {why}");
        error::FleetError::new(error::ErrorKind::PlatformUnavailable, detail)
    })
}

fn unexpected(answer: &WholeAnswer) -> error::FleetError {
    let detail = format!("the platform answered {}", answer.status);
    error::FleetError::new(error::ErrorKind::PlatformUnavailable, detail)
}
