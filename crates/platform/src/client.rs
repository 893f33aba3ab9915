//! The object API as the fleet's own operators and nodes use it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::{error, sizes};

use crate::channel::{CallError, CallObserver, PlatformChannel, WholeAnswer};
use crate::object::{Condition, ObjectName, ObjectPage, StoredObject, WatchAnswer};
use crate::vm::Vm;
use crate::wire;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks the platform task to make calls.
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

    async fn read(
        &self,
        operation: &'static str,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> Result<WholeAnswer, error::FleetError> {
        let answered = self.channel.call(operation, request, timeout).await;
        answered.map_err(|_| {
            error::FleetError::new(
                error::ErrorKind::PlatformUnavailable,
                "the platform did not answer",
            )
        })
    }

    /// Reads an object.
    ///
    /// # Errors
    /// `PlatformAway` when there is no readable answer.
    pub async fn get(&self, name: &ObjectName) -> Result<Option<StoredObject>, error::FleetError> {
        let answer = self.read("get", wire::get(name)?, CALL_TIMEOUT).await?;
        wire::read_object(name, answer)
    }

    /// Writes an object under a condition.
    ///
    /// # Errors
    /// `Conflict` when the condition does not hold, `PlatformAway` when the write
    /// certainly did not happen, `WriteUnknown` when it may have.
    pub async fn put(
        &self,
        name: &ObjectName,
        body: Bytes,
        condition: Condition,
    ) -> Result<sizes::ObjectVersion, error::FleetError> {
        let request = wire::put(name, body, condition)?;
        let answer = self.channel.call("put", request, CALL_TIMEOUT).await;
        match answer {
            Ok(answer) => wire::read_written(&answer),
            Err(CallError::NotSent) => {
                let detail = "the platform cannot be reached";
                Err(error::FleetError::new(
                    error::ErrorKind::PlatformUnavailable,
                    detail,
                ))
            }
            Err(CallError::Lost) => {
                let detail = "the platform's answer to a write was lost";
                Err(error::FleetError::new(
                    error::ErrorKind::WriteUnknown,
                    detail,
                ))
            }
        }
    }

    /// Writes an object and reads it back when the answer is lost.
    ///
    /// The body must be unlike that of any other writer.
    ///
    /// # Errors
    /// As [`Self::put`]; `WriteUnknown` only when reading back fails as well.
    pub async fn put_and_settle(
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

    /// Deletes an object that has this version.
    ///
    /// # Errors
    /// `Conflict` when it has another one, `PlatformAway` without a readable answer.
    pub async fn delete(
        &self,
        name: &ObjectName,
        version: sizes::ObjectVersion,
    ) -> Result<(), error::FleetError> {
        let answer = self
            .read("delete", wire::delete(name, version)?, CALL_TIMEOUT)
            .await?;
        wire::read_deleted(&answer)
    }

    /// Reads every object whose name starts with a prefix.
    ///
    /// # Errors
    /// `PlatformAway` when a page cannot be read.
    pub async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, error::FleetError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        loop {
            let after = objects.last().map_or("", |object| object.name.as_str());
            let answer = self
                .read("list", wire::list(prefix, after)?, CALL_TIMEOUT)
                .await?;
            let ObjectPage {
                objects: page,
                more,
            } = wire::read_page(&answer)?;
            let ended = page.is_empty() || !more;
            objects.extend(page);
            if ended {
                return Ok(objects);
            }
        }
    }

    /// Waits for changes under a prefix after a revision, at most `wait`.
    ///
    /// # Errors
    /// `PlatformAway` when there is no readable answer.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<WatchAnswer, error::FleetError> {
        let request = wire::watch(prefix, since, wait)?;
        let answer = self.read("watch", request, wait + CALL_TIMEOUT).await?;
        wire::read_watch(&answer)
    }

    /// Reads the VM list.
    ///
    /// # Errors
    /// `PlatformAway` when there is no readable answer.
    pub async fn vms(&self) -> Result<Vec<Vm>, error::FleetError> {
        let answer = self.read("vms", wire::vms()?, CALL_TIMEOUT).await?;
        wire::read_json(&answer)
    }
}
