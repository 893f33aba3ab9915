//! The calls of the administration API, independent of HTTP.

use std::collections::BTreeSet;

use model::config::{FleetConfig, UpstreamState};
use model::error::{ErrorKind, FleetError};
use model::{ids, sizes};
use platform::{config_store, records};

use super::wire::{
    AuditResponse, ChangeResponse, ConfigListing, IssuedToken, ServiceStatus, StatusResponse,
    TokenRequest,
};
use crate::audit;
use crate::change::ConfigStep;
use crate::commit::{ChangeOutcome, ChangeRequest, Committer};
use crate::tokens::{self, Principal, Role};

/// Maximum number of audit entries that one call returns.
const AUDIT_ENTRIES_MAX: usize = 500;
/// The largest share of a service's active upstreams that one change may remove or drain
/// without the `large-share` flag.
const LEAVING_SHARE_MAX: sizes::Share = sizes::Share::new(0.2);

/// Implements the calls of the API. Clones share one committer.
#[derive(Debug, Clone)]
pub struct AdminApi {
    committer: Committer,
}

/// A call that commits or plans a change.
#[derive(Debug, Clone)]
pub struct ChangeCall {
    /// The operator that makes the call.
    pub principal: Principal,
    /// The change to make.
    pub step: ConfigStep,
    /// The generation that the operator's change is based on.
    pub expected: Option<sizes::Generation>,
    /// Whether the change is only planned, not committed.
    pub plan_only: bool,
    /// Whether the change may remove or drain a large share of a service's upstreams.
    pub large_share: bool,
}

impl AdminApi {
    /// Creates an API that makes changes through `committer`.
    pub const fn new(committer: Committer) -> Self {
        Self { committer }
    }

    /// Finds the operator to whom a token belongs.
    ///
    /// # Errors
    /// `Unauthenticated` if the token is missing or unknown, `PlatformUnavailable` if the tokens
    /// cannot be read.
    pub async fn authenticate(&self, token: Option<&str>) -> Result<Principal, FleetError> {
        let (table, _) = tokens::read(self.committer.platform()).await?;
        table.authenticate(token)
    }

    /// Commits or plans a change.
    ///
    /// # Errors
    /// As [`Committer::commit`]; `Forbidden` if the role does not allow it; `Invalid` if it
    /// removes or drains a large share of a service's upstreams without the flag.
    pub async fn change(&self, call: ChangeCall) -> Result<ChangeResponse, FleetError> {
        call.principal.require(if call.plan_only {
            Role::Viewer
        } else {
            Role::Operator
        })?;
        let before = self.committer.read().await?;
        let share = leaving_share(&before, &call.step.apply(&before)?);
        if call.plan_only {
            return Ok(response(self.committer.plan(&call.step).await?, share));
        }
        // For a change based on an older generation, the conflict is reported first.
        let outdated = call
            .expected
            .is_some_and(|expected| expected != before.generation);
        if share > LEAVING_SHARE_MAX && !call.large_share && !outdated {
            let detail = format!(
                "the change removes or drains {share} of a service's active upstreams; without the large-share flag at most {LEAVING_SHARE_MAX} is allowed"
            );
            return Err(FleetError::new(ErrorKind::Invalid, detail));
        }
        let request = ChangeRequest {
            operator: call.principal.operator,
            step: call.step,
            expected: call.expected.or(Some(before.generation)),
        };
        Ok(response(self.committer.commit(&request).await?, share))
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// As [`Committer::read`].
    pub async fn config(&self) -> Result<FleetConfig, FleetError> {
        self.committer.read().await
    }

    /// Reads the state of the fleet from the platform; no node is queried.
    ///
    /// # Errors
    /// `PlatformUnavailable` if it cannot be read.
    pub async fn status(&self) -> Result<StatusResponse, FleetError> {
        let platform = self.committer.platform();
        let config = self.committer.read().await?;
        let mut services = Vec::new();
        for service in config.services.values() {
            let missing = records::read_ejections(platform, &service.id).await?.record;
            services.push(ServiceStatus {
                service: service.id.clone(),
                upstreams: service.upstreams.len(),
                active_slots: service.active_slots(),
                healthy_slots: missing.healthy_slots(service, |_| true),
                floor: service.floor,
                missing,
            });
        }
        Ok(StatusResponse {
            generation: config.generation,
            services,
            routes: config.routes.len(),
            workspaces: config.workspaces.len(),
            nodes: platform.vms().await?.len(),
        })
    }

    /// Lists one part of the configuration: `services`, `upstreams`, `routes` or `workspaces`.
    ///
    /// # Errors
    /// `NotFound` for another name, `PlatformUnavailable` if the configuration cannot be read.
    pub async fn list(&self, part: &str) -> Result<ConfigListing, FleetError> {
        let config = self.committer.read().await?;
        let mut listing = ConfigListing {
            generation: config.generation,
            services: Vec::new(),
            upstreams: Vec::new(),
            routes: Vec::new(),
            workspaces: Vec::new(),
        };
        let services = config
            .services
            .values()
            .map(|service| service.as_ref().clone());
        match part {
            "services" => listing.services = services.collect(),
            "upstreams" => listing.upstreams = services.flat_map(|s| s.upstreams).collect(),
            "routes" => {
                listing.routes = config.routes.values().map(|r| r.as_ref().clone()).collect();
            }
            "workspaces" => listing.workspaces = config.workspaces.into_values().collect(),
            _ => {
                let detail = format!("the configuration has no part named {part}");
                return Err(FleetError::new(ErrorKind::NotFound, detail));
            }
        }
        Ok(listing)
    }

    /// Reads up to `limit` of the newest audit entries, at most 500.
    ///
    /// # Errors
    /// As [`audit::read`].
    pub async fn audit(&self, limit: usize) -> Result<AuditResponse, FleetError> {
        let platform = self.committer.platform();
        let stored = config_store::read_root(platform).await?;
        let entries = audit::read(platform, &stored.root, limit.min(AUDIT_ENTRIES_MAX)).await?;
        Ok(AuditResponse { entries })
    }

    /// Issues a token. The operator's earlier token becomes invalid.
    ///
    /// # Errors
    /// `Forbidden` unless the principal is an admin; `Conflict` if the tokens were changed
    /// at the same time.
    pub async fn issue_token(
        &self,
        principal: &Principal,
        body: TokenRequest,
    ) -> Result<IssuedToken, FleetError> {
        principal.require(Role::Admin)?;
        let platform = self.committer.platform();
        let (mut table, condition) = tokens::read(platform).await?;
        let token = table.issue(body.operator.clone(), body.role);
        tokens::write(platform, &table, condition).await?;
        log::info!(target: "admin", "{} issued a token to {}.", principal.operator, body.operator);
        Ok(IssuedToken {
            operator: body.operator,
            role: body.role,
            token,
        })
    }

    /// Revokes an operator's token.
    ///
    /// # Errors
    /// `Forbidden` unless the principal is an admin; `NotFound` if the operator has no token.
    pub async fn revoke_token(
        &self,
        principal: &Principal,
        operator: &ids::OperatorId,
    ) -> Result<(), FleetError> {
        principal.require(Role::Admin)?;
        let platform = self.committer.platform();
        let (mut table, condition) = tokens::read(platform).await?;
        table.revoke(operator)?;
        tokens::write(platform, &table, condition).await?;
        log::info!(target: "admin", "{} revoked the token of {operator}.", principal.operator);
        Ok(())
    }

    /// Stores the token from the settings with the role of an admin, unless it is stored
    /// already.
    ///
    /// # Errors
    /// As [`tokens::read`] and [`tokens::write`].
    pub async fn ensure_admin_token(
        &self,
        operator: ids::OperatorId,
        text: &str,
    ) -> Result<(), FleetError> {
        let platform = self.committer.platform();
        let (mut table, condition) = tokens::read(platform).await?;
        if table.authenticate(Some(text)).is_ok() {
            return Ok(());
        }
        table.insert(operator, Role::Admin, text);
        tokens::write(platform, &table, condition).await
    }
}

fn response(outcome: ChangeOutcome, leaving_share: sizes::Share) -> ChangeResponse {
    ChangeResponse {
        generation: outcome.generation,
        differences: outcome.differences,
        leaving_share,
    }
}

/// The largest share of any service's active upstreams that a change removes or drains.
#[expect(
    clippy::cast_precision_loss,
    reason = "a service has thousands of upstreams at most"
)]
fn leaving_share(before: &FleetConfig, after: &FleetConfig) -> sizes::Share {
    let active = |config: &FleetConfig, service: &ids::ServiceId| -> BTreeSet<ids::UpstreamId> {
        let upstreams = config
            .services
            .get(service)
            .into_iter()
            .flat_map(|service| service.upstreams.clone());
        let active = upstreams.filter(|up| up.state == UpstreamState::Active);
        active.map(|up| up.id).collect()
    };
    let shares = before.services.keys().map(|id| {
        let (old, new) = (active(before, id), active(after, id));
        let leaving = old.difference(&new).count();
        if old.is_empty() {
            0.0
        } else {
            leaving as f64 / old.len() as f64
        }
    });
    sizes::Share::new(shares.fold(0.0, f64::max))
}
