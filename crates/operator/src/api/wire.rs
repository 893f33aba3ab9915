//! Bodies of the administration API.

use std::sync::Arc;

use model::config::{AuditEntry, Route, Service, Upstream, UpstreamState, Workspace};
use model::{ids, sizes};
use policy::ejection::EjectionRecord;

use crate::change::Difference;
use crate::sheet::SheetFault;
use crate::tokens::Role;

model::record! {
    /// An accepted change, or a plan of one.
    pub struct ChangeAnswer {
        /// The generation in force.
        pub generation: sizes::Generation,
        /// What differs.
        pub differences: Vec<Difference>,
        /// The largest share of one service's upstreams that leave.
        pub leaving_share: sizes::Share,
    }

    /// A refusal.
    pub struct ErrorAnswer {
        /// The kind of error.
        pub error: Arc<str>,
        /// What the caller may conclude.
        pub outcome: Arc<str>,
        /// Whether the same call may succeed later.
        pub retryable: bool,
        /// What happened.
        pub detail: Arc<str>,
        /// Faults of the sheet.
        pub sheet_faults: Vec<SheetFault>,
    }

    /// The state of one upstream.
    pub struct StateBody {
        /// The state wanted.
        pub state: UpstreamState,
    }

    /// A token to issue.
    pub struct TokenBody {
        /// Whose it is.
        pub operator: ids::OperatorId,
        /// What it allows.
        pub role: Role,
    }

    /// A token that was issued; it is shown once.
    pub struct IssuedToken {
        /// Whose it is.
        pub operator: ids::OperatorId,
        /// What it allows.
        pub role: Role,
        /// The token.
        pub token: Arc<str>,
    }

    /// The fleet as the platform knows it.
    pub struct StatusAnswer {
        /// The generation in force.
        pub generation: sizes::Generation,
        /// Services.
        pub services: Vec<ServiceStatus>,
        /// Routes.
        pub routes: usize,
        /// Workspaces.
        pub workspaces: usize,
        /// Entry nodes on the VM list.
        pub nodes: usize,
    }

    /// One service.
    pub struct ServiceStatus {
        /// Its name.
        pub service: ids::ServiceId,
        /// Its upstreams.
        pub upstreams: usize,
        /// Slots of the upstreams that take work.
        pub active_slots: sizes::SlotCount,
        /// Slots left when what is ejected, leaving and ramping counts as missing.
        pub healthy_slots: sizes::SlotCount,
        /// Slots that must remain.
        pub floor: sizes::SlotCount,
        /// What is missing.
        pub missing: EjectionRecord,
    }

    /// Lists of the configuration.
    pub struct Listing {
        /// The generation in force.
        pub generation: sizes::Generation,
        /// Services, when asked for.
        #[serde(default)]
        pub services: Vec<Service>,
        /// Upstreams, when asked for.
        #[serde(default)]
        pub upstreams: Vec<Upstream>,
        /// Routes, when asked for.
        #[serde(default)]
        pub routes: Vec<Route>,
        /// Workspaces, when asked for.
        #[serde(default)]
        pub workspaces: Vec<Workspace>,
    }

    /// The newest audit entries, newest first.
    pub struct AuditAnswer {
        /// The entries.
        pub entries: Vec<AuditEntry>,
    }
}
