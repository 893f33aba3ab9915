//! Ejection records and claim segments, stored as JSON objects of the platform.

use bytes::Bytes;
use model::{error, ids, sizes};
use policy::claim::{self, BatchWrite, Segment, StoredSegment, WriteCondition};
use policy::ejection::EjectionRecord;

use crate::client::PlatformClient;
use crate::names;
use crate::object::{Condition, StoredObject};

/// An ejection record with the condition for replacing it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record as read; empty if none is stored.
    pub record: EjectionRecord,
    /// The condition under which the next record is written.
    pub condition: Condition,
}

/// Reads the ejection record of a service. If none is stored, returns an empty one.
///
/// # Errors
/// `PlatformUnavailable` if it cannot be read, `Invalid` if it cannot be decoded.
pub async fn read_ejections(
    platform: &PlatformClient,
    service: &ids::ServiceId,
) -> Result<StoredRecord, error::FleetError> {
    let Some(object) = platform.get(&names::ejections(service)).await? else {
        let record = EjectionRecord::empty(service.clone());
        return Ok(StoredRecord {
            record,
            condition: Condition::Absent,
        });
    };
    decode_ejections(&object)
}

/// Decodes an ejection record from its object.
///
/// # Errors
/// `Invalid` if the object contains no record.
pub fn decode_ejections(object: &StoredObject) -> Result<StoredRecord, error::FleetError> {
    let record = decode(&object.body)?;
    Ok(StoredRecord {
        record,
        condition: Condition::Version(object.version),
    })
}

/// Writes an ejection record under a condition.
///
/// # Errors
/// As [`PlatformClient::put_and_confirm`].
pub async fn write_ejections(
    platform: &PlatformClient,
    record: &EjectionRecord,
    condition: Condition,
) -> Result<sizes::ObjectVersion, error::FleetError> {
    let name = names::ejections(&record.service);
    platform
        .put_and_confirm(&name, encode(record), condition)
        .await
}

/// Reads all claim segments of a shard.
///
/// # Errors
/// `PlatformUnavailable` if one cannot be read, `Invalid` if one cannot be decoded.
pub async fn read_segments(
    platform: &PlatformClient,
    shard: claim::ShardId,
) -> Result<Vec<StoredSegment>, error::FleetError> {
    let prefix = names::shard_prefix(shard);
    let objects = platform.list(&prefix).await?;
    let stored = objects.into_iter().map(|object| {
        let digits = object
            .name
            .as_str()
            .strip_prefix(&prefix)
            .unwrap_or_default();
        let number = digits.parse().map_err(|error: error::ValueError| {
            error::FleetError::new(error::ErrorKind::Invalid, error.to_string())
        })?;
        Ok(StoredSegment {
            number,
            version: object.version,
            segment: decode(&object.body)?,
        })
    });
    stored.collect()
}

/// Writes the segment of a batch of claims.
///
/// # Errors
/// As [`PlatformClient::put`]. After a lost response the batcher reads the segments itself.
pub async fn write_batch(
    platform: &PlatformClient,
    write: &BatchWrite,
) -> Result<sizes::ObjectVersion, error::FleetError> {
    let condition = match write.condition {
        WriteCondition::Absent => Condition::Absent,
        WriteCondition::Version(version) => Condition::Version(version),
    };
    let name = names::segment(write.shard, write.number);
    platform
        .put(&name, encode::<Segment>(&write.segment), condition)
        .await
}

/// Deletes a claim segment if it has this version; called once all its claims have expired.
///
/// # Errors
/// As [`PlatformClient::delete`].
pub async fn delete_segment(
    platform: &PlatformClient,
    shard: claim::ShardId,
    number: claim::SegmentNumber,
    version: sizes::ObjectVersion,
) -> Result<(), error::FleetError> {
    platform
        .delete(&names::segment(shard, number), version)
        .await
}

fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, error::FleetError> {
    serde_json::from_slice(bytes)
        .map_err(|error| error::FleetError::new(error::ErrorKind::Invalid, error.to_string()))
}
