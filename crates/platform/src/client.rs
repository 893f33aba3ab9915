//! The operations of the object API, as nodes and the administration API use them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::{error, sizes};

use crate::channel::{BufferedResponse, CallError, CallObserver, PlatformChannel};
use crate::object::{Condition, ObjectName, ObjectPage, StoredObject, WatchResponse};
use crate::vm::Vm;
use crate::wire;

/// Timeout for one call; a watch may take its own wait in addition.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of the platform. Clones share its connections.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    channel: PlatformChannel,
}

impl PlatformClient {
    /// Starts the task that owns the connections to the platform.
    pub fn start(address: SocketAddr, observer: CallObserver) -> Self {
        Self {
            channel: PlatformChannel::start(address, observer),
        }
    }

    /// Makes a call for which it does not matter whether a failed attempt was executed.
    async fn call(
        &self,
        operation: &'static str,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> Result<BufferedResponse, error::FleetError> {
        let response = self.channel.call(operation, request, timeout).await;
        response.map_err(|_| {
            error::FleetError::new(
                error::ErrorKind::PlatformUnavailable,
                "the platform did not respond",
            )
        })
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    /// `PlatformUnavailable` without a readable response.
    pub async fn get(&self, name: &ObjectName) -> Result<Option<StoredObject>, error::FleetError> {
        let response = self.call("get", wire::get(name)?, CALL_TIMEOUT).await?;
        wire::read_object(name, response)
    }

    /// Writes an object under a condition.
    ///
    /// # Errors
    /// `Conflict` if the condition does not hold, `PlatformUnavailable` if the write certainly
    /// did not take effect, `WriteUnknown` if it may have.
    pub async fn put(
        &self,
        name: &ObjectName,
        body: Bytes,
        condition: Condition,
    ) -> Result<sizes::ObjectVersion, error::FleetError> {
        let request = wire::put(name, body, condition)?;
        let response = self.channel.call("put", request, CALL_TIMEOUT).await;
        match response {
            Ok(response) => wire::read_written(&response),
            Err(CallError::NotSent) => {
                let detail = "the platform cannot be reached";
                Err(error::FleetError::new(
                    error::ErrorKind::PlatformUnavailable,
                    detail,
                ))
            }
            Err(CallError::ResponseLost) => {
                let detail = "the platform did not respond to a write";
                Err(error::FleetError::new(
                    error::ErrorKind::WriteUnknown,
                    detail,
                ))
            }
        }
    }

    /// Writes an object; if the outcome is unknown, reads the object back to learn whether
    /// the write took effect.
    ///
    /// The body must differ from what any other writer may write, since an equal body
    /// counts as this write.
    ///
    /// # Errors
    /// As [`Self::put`]; `WriteUnknown` if reading back fails or finds another body.
    pub async fn put_and_confirm(
        &self,
        name: &ObjectName,
        body: Bytes,
        condition: Condition,
    ) -> Result<sizes::ObjectVersion, error::FleetError> {
        let result = self.put(name, body.clone(), condition).await;
        let Err(lost) = &result else {
            return result;
        };
        if lost.kind() != error::ErrorKind::WriteUnknown {
            return result;
        }
        let found = self.get(name).await.map_err(|_| lost.clone())?;
        match found {
            Some(object) if object.body == body => Ok(object.version),
            _ => result,
        }
    }

    /// Deletes an object if it has this version. An object that does not exist is no error.
    ///
    /// # Errors
    /// `Conflict` if it has another version, `PlatformUnavailable` without a readable response.
    pub async fn delete(
        &self,
        name: &ObjectName,
        version: sizes::ObjectVersion,
    ) -> Result<(), error::FleetError> {
        let response = self
            .call("delete", wire::delete(name, version)?, CALL_TIMEOUT)
            .await?;
        wire::read_deleted(&response)
    }

    /// Reads all objects whose names start with a prefix, page by page.
    ///
    /// # Errors
    /// `PlatformUnavailable` if a page cannot be read.
    pub async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, error::FleetError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        loop {
            let after = objects.last().map_or("", |object| object.name.as_str());
            let response = self
                .call("list", wire::list(prefix, after)?, CALL_TIMEOUT)
                .await?;
            let ObjectPage {
                objects: page,
                more,
            } = wire::read_page(&response)?;
            let last_page = page.is_empty() || !more;
            objects.extend(page);
            if last_page {
                return Ok(objects);
            }
        }
    }

    /// Waits up to `wait` for changes to objects under a prefix, after a revision.
    ///
    /// # Errors
    /// `PlatformUnavailable` without a readable response.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<WatchResponse, error::FleetError> {
        let request = wire::watch(prefix, since, wait)?;
        let response = self.call("watch", request, wait + CALL_TIMEOUT).await?;
        wire::read_watch(&response)
    }

    /// Reads the list of VMs that run entry nodes.
    ///
    /// # Errors
    /// `PlatformUnavailable` without a readable response.
    pub async fn vms(&self) -> Result<Vec<Vm>, error::FleetError> {
        let response = self.call("vms", wire::vms()?, CALL_TIMEOUT).await?;
        wire::read_json(&response)
    }
}
