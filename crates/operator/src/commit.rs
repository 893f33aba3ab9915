//! Makes a change accepted: one conditional update of the configuration's root.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::config::{
    AuditEntry, ChangeSummary, Chunk, ChunkCache, ConfigRoot, EncodedChunk, FleetConfig, Service,
    UpstreamState,
};
use model::error::{ErrorKind, FleetError};
use model::{clock, digest, ids, sizes};
use platform::config_store::{self, StoredRoot};
use platform::{PlatformClient, records};
use tokio::sync::watch;

use crate::audit;
use crate::change::{self, ConfigStep, Difference};

/// Tries when other changes come in between and the caller named no generation.
const TRIES_MAX: usize = 8;
/// Tries to write the ejection record of a service.
const RESERVE_TRIES: usize = 4;
/// Audit entries that are searched for a change whose answer was lost.
const SEARCH_MAX: usize = 32;

/// Makes changes on behalf of operators.
#[derive(Debug, Clone)]
pub struct Committer {
    platform: PlatformClient,
    clock: clock::WallClock,
    /// Chunks read before, so that a change reads only what is new.
    cache: Arc<watch::Sender<ChunkCache>>,
}

/// A change that an operator asks for.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// Who asks.
    pub operator: ids::OperatorId,
    /// What is asked for.
    pub step: ConfigStep,
    /// The generation that the operator saw; a change on top of another one is refused.
    pub expected: Option<sizes::Generation>,
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// The generation that it made; the one before when nothing differed.
    pub generation: sizes::Generation,
    /// What differs.
    pub differences: Vec<Difference>,
}

impl Committer {
    /// A committer over a platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self {
            platform,
            clock: clock::WallClock::start(),
            cache: Arc::new(watch::Sender::new(ChunkCache::default())),
        }
    }

    /// The platform in use.
    pub const fn platform(&self) -> &PlatformClient {
        &self.platform
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// `PlatformAway` when it cannot be read.
    pub async fn read(&self) -> Result<FleetConfig, FleetError> {
        Ok(self.read_stored().await?.1)
    }

    async fn read_stored(&self) -> Result<(StoredRoot, FleetConfig), FleetError> {
        let mut cache = self.cache.borrow().clone();
        let read = config_store::read_config(&self.platform, &mut cache).await?;
        cache.retain_referenced(&read.0.root);
        self.cache.send_replace(cache);
        Ok(read)
    }

    /// Works out what a change would do, without making it.
    ///
    /// # Errors
    /// As [`Self::commit`], short of writing.
    pub async fn plan(&self, step: &ConfigStep) -> Result<Accepted, FleetError> {
        let before = self.read().await?;
        let after = step.apply(&before)?;
        refuse_faults(&after)?;
        for (service, upstreams) in departures(&before, &after) {
            let stored = records::read_ejections(&self.platform, &service.id).await?;
            let mut record = stored.record;
            record.reserve(&service, &upstreams, before.generation.next())?;
        }
        let differences = change::compare(&before, &after);
        Ok(Accepted {
            generation: before.generation,
            differences,
        })
    }

    /// Makes a change.
    ///
    /// # Errors
    /// `Conflict` names the other change, `Invalid` the faults, `UnderFloor` the figures;
    /// `WriteUnknown` when the change may or may not have been accepted.
    pub async fn commit(&self, request: &ChangeRequest) -> Result<Accepted, FleetError> {
        for _ in 0..TRIES_MAX {
            match self.try_commit(request).await {
                Err(error) if error.kind() == ErrorKind::Conflict && request.expected.is_none() => {
                }
                result => return result,
            }
        }
        Err(FleetError::new(
            ErrorKind::Conflict,
            "too many other changes came in between",
        ))
    }

    async fn try_commit(&self, request: &ChangeRequest) -> Result<Accepted, FleetError> {
        let (stored, before) = self.read_stored().await?;
        if request
            .expected
            .is_some_and(|expected| expected != before.generation)
        {
            return Err(self.conflict(&stored.root).await);
        }
        let mut after = request.step.apply(&before)?;
        refuse_faults(&after)?;
        let differences = change::compare(&before, &after);
        if differences.is_empty() {
            return Ok(Accepted {
                generation: before.generation,
                differences,
            });
        }
        after.generation = before.generation.next();
        self.reserve(&before, &after).await?;
        let (mut root, pieces) = after.split();
        let entry = self.audit_entry(request, &stored.root, after.generation, &differences);
        let entry = Chunk::Audit(entry).encode();
        root.audit = Some(entry.hash.clone());
        self.write_new_chunks(&stored.root, &pieces, &entry).await?;
        match config_store::write_root(&self.platform, &root, stored.condition).await {
            Ok(_) => Ok(Accepted {
                generation: after.generation,
                differences,
            }),
            Err(error) => {
                self.settle(error, &entry.hash, after.generation, differences)
                    .await
            }
        }
    }

    fn audit_entry(
        &self,
        request: &ChangeRequest,
        root: &ConfigRoot,
        generation: sizes::Generation,
        differences: &[Difference],
    ) -> AuditEntry {
        let lines = differences
            .iter()
            .map(|line| Arc::from(line.to_string()))
            .collect();
        AuditEntry {
            generation,
            operator: request.operator.clone(),
            at: self.clock.now(),
            nonce: format!("{:032x}", rand::random::<u128>()).into(),
            summary: ChangeSummary {
                action: request.step.describe().into(),
                lines,
            },
            previous: root.audit.clone(),
        }
    }

    /// Writes the chunks that the root in force does not name.
    async fn write_new_chunks(
        &self,
        current: &ConfigRoot,
        pieces: &[EncodedChunk],
        entry: &EncodedChunk,
    ) -> Result<(), FleetError> {
        let known: std::collections::HashSet<_> = current.chunks().collect();
        let new = pieces.iter().filter(|piece| !known.contains(&piece.hash));
        for piece in new.chain([entry]) {
            config_store::write_chunk(&self.platform, piece).await?;
        }
        Ok(())
    }

    /// Reserves departures in the services' ejection records, where the floor is checked.
    async fn reserve(&self, before: &FleetConfig, after: &FleetConfig) -> Result<(), FleetError> {
        for (service, upstreams) in departures(before, after) {
            self.reserve_one(&service, &upstreams, before.generation, after.generation)
                .await?;
        }
        Ok(())
    }

    async fn reserve_one(
        &self,
        service: &Service,
        upstreams: &[ids::UpstreamId],
        before: sizes::Generation,
        generation: sizes::Generation,
    ) -> Result<(), FleetError> {
        for _ in 0..RESERVE_TRIES {
            let stored = records::read_ejections(&self.platform, &service.id).await?;
            let mut record = stored.record;
            record.remove_expired(service, before, self.clock.now());
            record.reserve(service, upstreams, generation)?;
            let written = records::write_ejections(&self.platform, &record, stored.condition).await;
            match written {
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Conflict => {}
                Err(error) => return Err(error),
            }
        }
        let detail = format!("the ejection record of {} keeps changing", service.id);
        Err(FleetError::new(ErrorKind::Conflict, detail))
    }

    /// Finds out whether a change whose root was not plainly written was accepted.
    async fn settle(
        &self,
        error: FleetError,
        entry: &digest::ContentHash,
        generation: sizes::Generation,
        differences: Vec<Difference>,
    ) -> Result<Accepted, FleetError> {
        let settled = matches!(error.kind(), ErrorKind::WriteUnknown | ErrorKind::Conflict);
        if !settled {
            return Err(error);
        }
        let Ok(stored) = config_store::read_root(&self.platform).await else {
            let detail = "the change may or may not have been accepted; look at the audit trail";
            return Err(FleetError::new(ErrorKind::WriteUnknown, detail));
        };
        if audit::contains(&self.platform, &stored.root, entry, SEARCH_MAX).await? {
            return Ok(Accepted {
                generation,
                differences,
            });
        }
        Err(self.conflict(&stored.root).await)
    }

    async fn conflict(&self, root: &ConfigRoot) -> FleetError {
        let newest = audit::newest(&self.platform, root).await.ok().flatten();
        let detail = newest.map_or_else(
            || format!("generation {} is in force", root.generation),
            |entry| {
                let AuditEntry {
                    generation,
                    operator,
                    summary,
                    ..
                } = entry;
                format!(
                    "generation {generation} by {operator} is in force: {}",
                    summary.action
                )
            },
        );
        FleetError::new(ErrorKind::Conflict, detail)
    }
}

fn refuse_faults(config: &FleetConfig) -> Result<(), FleetError> {
    let faults = change::check(config);
    if faults.is_empty() {
        return Ok(());
    }
    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    Err(FleetError::new(ErrorKind::Invalid, texts.join("; ")))
}

/// Services that lose active upstreams, with the floor that holds after the change.
fn departures(before: &FleetConfig, after: &FleetConfig) -> Vec<(Service, Vec<ids::UpstreamId>)> {
    let lost = before.services.iter().filter_map(|(id, old)| {
        let new = after.services.get(id)?;
        let stays: BTreeMap<_, _> = new.upstreams.iter().map(|up| (&up.id, up.state)).collect();
        let active = old
            .upstreams
            .iter()
            .filter(|up| up.state == UpstreamState::Active);
        let gone = active.filter(|up| stays.get(&up.id) != Some(&UpstreamState::Active));
        let gone: Vec<_> = gone.map(|up| up.id.clone()).collect();
        let basis = Service {
            floor: new.floor,
            ..old.as_ref().clone()
        };
        (!gone.is_empty()).then_some((basis, gone))
    });
    lost.collect()
}
