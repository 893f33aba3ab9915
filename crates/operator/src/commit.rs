//! Commits configuration changes. A change is accepted by one conditional write of the
//! configuration root, after its chunks are written and its removals are reserved.

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

/// Maximum number of attempts to commit a change without an expected generation, when
/// other changes are committed at the same time.
const COMMIT_ATTEMPTS_MAX: usize = 8;
/// Maximum number of attempts to update the ejection record of a service.
const RESERVE_ATTEMPTS_MAX: usize = 4;
/// Number of newest audit entries that are searched for a change whose response was lost.
const AUDIT_SEARCH_MAX: usize = 32;

/// Plans and commits changes on behalf of operators. Clones share a chunk cache.
#[derive(Debug, Clone)]
pub struct Committer {
    platform: PlatformClient,
    clock: clock::WallClock,
    /// Chunks read earlier, so that a change reads only new ones.
    cache: Arc<watch::Sender<ChunkCache>>,
}

/// A change requested by an operator.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// The operator, as named in the audit entry.
    pub operator: ids::OperatorId,
    /// The change to make.
    pub step: ConfigStep,
    /// The generation that the change is based on; the change is refused if another one is
    /// in force.
    pub expected: Option<sizes::Generation>,
}

/// The result of a committed or planned change.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeOutcome {
    /// The generation of the committed change. For a plan, and for a change without
    /// differences, the generation in force.
    pub generation: sizes::Generation,
    /// The differences between the old and the new configuration.
    pub differences: Vec<Difference>,
}

impl Committer {
    /// Creates a committer that stores changes on `platform`.
    pub fn new(platform: PlatformClient) -> Self {
        Self {
            platform,
            clock: clock::WallClock::start(),
            cache: Arc::new(watch::Sender::new(ChunkCache::default())),
        }
    }

    /// The platform on which changes are stored.
    pub const fn platform(&self) -> &PlatformClient {
        &self.platform
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// As [`config_store::read_config`].
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

    /// Validates a change and lists its differences, without writing anything.
    ///
    /// # Errors
    /// As [`Self::commit`], except for errors of writing.
    pub async fn plan(&self, step: &ConfigStep) -> Result<ChangeOutcome, FleetError> {
        let before = self.read().await?;
        let after = step.apply(&before)?;
        require_valid(&after)?;
        for (service, upstreams) in removed_upstreams(&before, &after) {
            let stored = records::read_ejections(&self.platform, &service.id).await?;
            let mut record = stored.record;
            record.reserve(&service, &upstreams, before.generation.next())?;
        }
        let differences = change::compare(&before, &after);
        Ok(ChangeOutcome {
            generation: before.generation,
            differences,
        })
    }

    /// Commits a change. Without an expected generation, tries again after conflicts.
    ///
    /// # Errors
    /// `Conflict` with the other change, `Invalid` with all faults, `UnderFloor` with the
    /// slot counts, `WriteUnknown` if the change may or may not have been accepted.
    pub async fn commit(&self, request: &ChangeRequest) -> Result<ChangeOutcome, FleetError> {
        for _ in 0..COMMIT_ATTEMPTS_MAX {
            match self.try_commit(request).await {
                Err(error) if error.kind() == ErrorKind::Conflict && request.expected.is_none() => {
                }
                result => return result,
            }
        }
        Err(FleetError::new(
            ErrorKind::Conflict,
            format!("other changes were committed during all {COMMIT_ATTEMPTS_MAX} attempts"),
        ))
    }

    async fn try_commit(&self, request: &ChangeRequest) -> Result<ChangeOutcome, FleetError> {
        let (stored, before) = self.read_stored().await?;
        if request
            .expected
            .is_some_and(|expected| expected != before.generation)
        {
            return Err(self.conflict(&stored.root).await);
        }
        let mut after = request.step.apply(&before)?;
        require_valid(&after)?;
        let differences = change::compare(&before, &after);
        if differences.is_empty() {
            return Ok(ChangeOutcome {
                generation: before.generation,
                differences,
            });
        }
        after.generation = before.generation.next();
        self.reserve_removals(&before, &after).await?;
        let (mut root, chunks) = after.split();
        let entry = self.audit_entry(request, &stored.root, after.generation, &differences);
        let entry = Chunk::Audit(entry).encode();
        root.audit = Some(entry.hash.clone());
        self.write_new_chunks(&stored.root, &chunks, &entry).await?;
        match config_store::write_root(&self.platform, &root, stored.condition).await {
            Ok(_) => Ok(ChangeOutcome {
                generation: after.generation,
                differences,
            }),
            Err(error) => {
                self.confirm_commit(error, &entry.hash, after.generation, differences)
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
            .map(|difference| Arc::from(difference.to_string()))
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

    /// Writes the audit entry and the chunks that the root in force does not name.
    async fn write_new_chunks(
        &self,
        current: &ConfigRoot,
        chunks: &[EncodedChunk],
        entry: &EncodedChunk,
    ) -> Result<(), FleetError> {
        let stored: std::collections::HashSet<_> = current.chunks().collect();
        let new = chunks.iter().filter(|chunk| !stored.contains(&chunk.hash));
        for chunk in new.chain([entry]) {
            config_store::write_chunk(&self.platform, chunk).await?;
        }
        Ok(())
    }

    /// Reserves the removal of upstreams in the ejection records of their services. The
    /// records count all missing capacity, so the floor is checked there.
    async fn reserve_removals(
        &self,
        before: &FleetConfig,
        after: &FleetConfig,
    ) -> Result<(), FleetError> {
        for (service, upstreams) in removed_upstreams(before, after) {
            self.reserve_in_service(&service, &upstreams, before.generation, after.generation)
                .await?;
        }
        Ok(())
    }

    async fn reserve_in_service(
        &self,
        service: &Service,
        upstreams: &[ids::UpstreamId],
        before: sizes::Generation,
        generation: sizes::Generation,
    ) -> Result<(), FleetError> {
        for _ in 0..RESERVE_ATTEMPTS_MAX {
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
        let detail = format!(
            "the ejection record of {} was changed during all {RESERVE_ATTEMPTS_MAX} attempts to update it",
            service.id
        );
        Err(FleetError::new(ErrorKind::Conflict, detail))
    }

    /// Determines the outcome after the write of the root failed. If the response was lost,
    /// the audit trail shows whether the change was accepted, even if later changes
    /// followed. Otherwise the error names the newest change.
    async fn confirm_commit(
        &self,
        error: FleetError,
        entry: &digest::ContentHash,
        generation: sizes::Generation,
        differences: Vec<Difference>,
    ) -> Result<ChangeOutcome, FleetError> {
        let maybe_accepted = matches!(error.kind(), ErrorKind::WriteUnknown | ErrorKind::Conflict);
        if !maybe_accepted {
            return Err(error);
        }
        let Ok(stored) = config_store::read_root(&self.platform).await else {
            let detail = "the change may or may not have been accepted; check the audit trail";
            return Err(FleetError::new(ErrorKind::WriteUnknown, detail));
        };
        if audit::contains(&self.platform, &stored.root, entry, AUDIT_SEARCH_MAX).await? {
            return Ok(ChangeOutcome {
                generation,
                differences,
            });
        }
        Err(self.conflict(&stored.root).await)
    }

    /// Builds a conflict error that names the newest change.
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

fn require_valid(config: &FleetConfig) -> Result<(), FleetError> {
    let faults = change::validate(config);
    if faults.is_empty() {
        return Ok(());
    }
    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    Err(FleetError::new(ErrorKind::Invalid, texts.join("; ")))
}

/// The services that lose active upstreams, with the upstreams that they lose. Each service
/// has its old upstreams and its new floor, against which the removal is checked.
fn removed_upstreams(
    before: &FleetConfig,
    after: &FleetConfig,
) -> Vec<(Service, Vec<ids::UpstreamId>)> {
    let services = before.services.iter().filter_map(|(id, old)| {
        let new = after.services.get(id)?;
        let states: BTreeMap<_, _> = new.upstreams.iter().map(|up| (&up.id, up.state)).collect();
        let active = old
            .upstreams
            .iter()
            .filter(|up| up.state == UpstreamState::Active);
        let removed = active.filter(|up| states.get(&up.id) != Some(&UpstreamState::Active));
        let removed: Vec<_> = removed.map(|up| up.id.clone()).collect();
        let service = Service {
            floor: new.floor,
            ..old.as_ref().clone()
        };
        (!removed.is_empty()).then_some((service, removed))
    });
    services.collect()
}
