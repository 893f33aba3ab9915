//! What each call of the administration API does.

use std::collections::BTreeSet;

use model::config::{FleetConfig, UpstreamState};
use model::error::{ErrorKind, FleetError};
use model::{ids, sizes};
use platform::{config_store, records};

use super::wire::{
    AuditAnswer, ChangeAnswer, IssuedToken, Listing, ServiceStatus, StatusAnswer, TokenBody,
};
use crate::audit;
use crate::change::ConfigStep;
use crate::commit::{Accepted, ChangeRequest, Committer};
use crate::tokens::{self, Caller, Role};

/// Audit entries that one call returns at most.
const AUDIT_MAX: usize = 500;
/// The largest share of a service's upstreams that may start to drain at once
/// without the caller's word for it.
const LEAVING_SHARE_MAX: sizes::Share = sizes::Share::new(0.2);

/// Serves operators.
#[derive(Debug, Clone)]
pub struct AdminApi {
    committer: Committer,
}

/// A change as a caller asks for it.
#[derive(Debug, Clone)]
pub struct ChangeCall {
    /// Who asks.
    pub caller: Caller,
    /// What is asked for.
    pub step: ConfigStep,
    /// The generation that the caller saw.
    pub expected: Option<sizes::Generation>,
    /// Whether only the plan is wanted.
    pub plan_only: bool,
    /// Whether a large share may leave at once.
    pub large_share: bool,
}

impl AdminApi {
    /// An API that makes changes through a committer.
    pub const fn new(committer: Committer) -> Self {
        Self { committer }
    }

    /// Finds out who calls.
    ///
    /// # Errors
    /// `Unauthenticated`, or `PlatformAway` when the tokens cannot be read.
    pub async fn authenticate(&self, token: Option<&str>) -> Result<Caller, FleetError> {
        let (table, _) = tokens::read(self.committer.platform()).await?;
        table.authenticate(token)
    }

    /// Makes or plans a change.
    ///
    /// # Errors
    /// As [`Committer::commit`]; `Invalid` when a large share would leave without leave.
    pub async fn change(&self, call: ChangeCall) -> Result<ChangeAnswer, FleetError> {
        call.caller.require(if call.plan_only {
            Role::Viewer
        } else {
            Role::Operator
        })?;
        let before = self.committer.read().await?;
        let share = leaving_share(&before, &call.step.apply(&before)?);
        if call.plan_only {
            return Ok(answer(self.committer.plan(&call.step).await?, share));
        }
        // A change on top of another one is told of that first.
        let stale = call
            .expected
            .is_some_and(|expected| expected != before.generation);
        if share > LEAVING_SHARE_MAX && !call.large_share && !stale {
            let detail = format!(
                "{share} of a service's upstreams would leave at once, {LEAVING_SHARE_MAX} may without the flag"
            );
            return Err(FleetError::new(ErrorKind::Invalid, detail));
        }
        let request = ChangeRequest {
            operator: call.caller.operator,
            step: call.step,
            expected: call.expected.or(Some(before.generation)),
        };
        Ok(answer(self.committer.commit(&request).await?, share))
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// `PlatformAway` when it cannot be read.
    pub async fn config(&self) -> Result<FleetConfig, FleetError> {
        self.committer.read().await
    }

    /// The fleet as the platform knows it.
    ///
    /// # Errors
    /// `PlatformAway` when it cannot be read.
    pub async fn status(&self) -> Result<StatusAnswer, FleetError> {
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
        Ok(StatusAnswer {
            generation: config.generation,
            services,
            routes: config.routes.len(),
            workspaces: config.workspaces.len(),
            nodes: platform.vms().await?.len(),
        })
    }

    /// Lists a part of the configuration.
    ///
    /// # Errors
    /// `NotFound` for a part that does not exist.
    pub async fn list(&self, part: &str) -> Result<Listing, FleetError> {
        let config = self.committer.read().await?;
        let mut listing = Listing {
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
                let detail = format!("{part} is not a part of the configuration");
                return Err(FleetError::new(ErrorKind::NotFound, detail));
            }
        }
        Ok(listing)
    }

    /// The newest audit entries.
    ///
    /// # Errors
    /// `PlatformAway` when they cannot be read.
    pub async fn audit(&self, most: usize) -> Result<AuditAnswer, FleetError> {
        let platform = self.committer.platform();
        let stored = config_store::read_root(platform).await?;
        let entries = audit::read(platform, &stored.root, most.min(AUDIT_MAX)).await?;
        Ok(AuditAnswer { entries })
    }

    /// Issues a token; an operator's earlier one ends.
    ///
    /// # Errors
    /// `Forbidden` unless the caller is an admin; `Conflict` when tokens changed meanwhile.
    pub async fn issue_token(
        &self,
        caller: &Caller,
        body: TokenBody,
    ) -> Result<IssuedToken, FleetError> {
        caller.require(Role::Admin)?;
        let platform = self.committer.platform();
        let (mut table, condition) = tokens::read(platform).await?;
        let token = table.issue(body.operator.clone(), body.role);
        tokens::write(platform, &table, condition).await?;
        log::info!(target: "admin", "{} issued a token to {}.", caller.operator, body.operator);
        Ok(IssuedToken {
            operator: body.operator,
            role: body.role,
            token,
        })
    }

    /// Ends an operator's token.
    ///
    /// # Errors
    /// `Forbidden` unless the caller is an admin; `NotFound` when there is none.
    pub async fn revoke_token(
        &self,
        caller: &Caller,
        operator: &ids::OperatorId,
    ) -> Result<(), FleetError> {
        caller.require(Role::Admin)?;
        let platform = self.committer.platform();
        let (mut table, condition) = tokens::read(platform).await?;
        table.revoke(operator)?;
        tokens::write(platform, &table, condition).await?;
        log::info!(target: "admin", "{} revoked the token of {operator}.", caller.operator);
        Ok(())
    }

    /// Makes sure that the token given by the settings is an admin's.
    ///
    /// # Errors
    /// `PlatformAway` when the tokens cannot be read or written.
    pub async fn adopt_token(
        &self,
        operator: ids::OperatorId,
        text: &str,
    ) -> Result<(), FleetError> {
        let platform = self.committer.platform();
        let (mut table, condition) = tokens::read(platform).await?;
        if table.authenticate(Some(text)).is_ok() {
            return Ok(());
        }
        table.adopt(operator, Role::Admin, text);
        tokens::write(platform, &table, condition).await
    }
}

fn answer(accepted: Accepted, leaving_share: sizes::Share) -> ChangeAnswer {
    ChangeAnswer {
        generation: accepted.generation,
        differences: accepted.differences,
        leaving_share,
    }
}

/// The largest share of one service's active upstreams that leave.
#[expect(
    clippy::cast_precision_loss,
    reason = "upstreams are counted in thousands"
)]
fn leaving_share(before: &FleetConfig, after: &FleetConfig) -> sizes::Share {
    let active = |config: &FleetConfig, service: &ids::ServiceId| -> BTreeSet<ids::UpstreamId> {
        let upstreams = config
            .services
            .get(service)
            .into_iter()
            .flat_map(|s| s.upstreams.clone());
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
