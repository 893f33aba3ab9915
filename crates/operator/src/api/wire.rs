//! JSON bodies of the administration API. `gooseberrydyke-ctl` uses the same types.

use std::sync::Arc;

use model::config::{AuditEntry, Route, Service, Upstream, UpstreamState, Workspace};
use model::{ids, sizes};
use policy::ejection::EjectionRecord;

use crate::change::Difference;
use crate::sheet::SheetFault;
use crate::tokens::Role;

model::record! {
    /// The response to a committed or planned change.
    pub struct ChangeResponse {
        /// The generation in force after the call.
        pub generation: sizes::Generation,
        /// The differences that the change makes.
        pub differences: Vec<Difference>,
        /// The largest share of any service's active upstreams that the change removes or drains.
        pub leaving_share: sizes::Share,
    }

    /// The response to a call that failed.
    pub struct ErrorResponse {
        /// The error kind.
        pub error: Arc<str>,
        /// Whether the call may have taken effect.
        pub outcome: Arc<str>,
        /// Whether the same call may succeed later.
        pub retryable: bool,
        /// A description of the error for people.
        pub detail: Arc<str>,
        /// All faults of the sheet, if the call sent one.
        pub sheet_faults: Vec<SheetFault>,
    }

    /// A request to drain or activate an upstream.
    pub struct StateRequest {
        /// The new state.
        pub state: UpstreamState,
    }

    /// A request to issue a token.
    pub struct TokenRequest {
        /// The operator that the token identifies.
        pub operator: ids::OperatorId,
        /// The role that it grants.
        pub role: Role,
    }

    /// A token that was issued. Its text is not stored, so no later call returns it.
    pub struct IssuedToken {
        /// The operator that the token identifies.
        pub operator: ids::OperatorId,
        /// The role that it grants.
        pub role: Role,
        /// The text of the token.
        pub token: Arc<str>,
    }

    /// The state of the fleet as stored on the platform.
    pub struct StatusResponse {
        /// The generation in force.
        pub generation: sizes::Generation,
        /// The status of each service.
        pub services: Vec<ServiceStatus>,
        /// Number of routes.
        pub routes: usize,
        /// Number of workspaces.
        pub workspaces: usize,
        /// Number of entry nodes in the VM list.
        pub nodes: usize,
    }

    /// The capacity of one service.
    pub struct ServiceStatus {
        /// The id of the service.
        pub service: ids::ServiceId,
        /// Number of upstreams, including draining ones.
        pub upstreams: usize,
        /// Total slots of the active upstreams.
        pub active_slots: sizes::SlotCount,
        /// Active slots without those of ejected, leaving and ramping upstreams.
        pub healthy_slots: sizes::SlotCount,
        /// Slots that must stay healthy.
        pub floor: sizes::SlotCount,
        /// The ejected, leaving and ramping upstreams.
        pub missing: EjectionRecord,
    }

    /// A part of the configuration; lists of other parts are empty.
    pub struct ConfigListing {
        /// The generation in force.
        pub generation: sizes::Generation,
        /// The services, if requested.
        #[serde(default)]
        pub services: Vec<Service>,
        /// The upstreams of all services, if requested.
        #[serde(default)]
        pub upstreams: Vec<Upstream>,
        /// The routes, if requested.
        #[serde(default)]
        pub routes: Vec<Route>,
        /// The workspaces, if requested.
        #[serde(default)]
        pub workspaces: Vec<Workspace>,
    }

    /// The newest entries of the audit trail.
    pub struct AuditResponse {
        /// The entries, newest first.
        pub entries: Vec<AuditEntry>,
    }
}
