//! What the sender of a request and the owner of the limits tell each other.

use std::time::Duration;

use model::{ids, sizes};
use tokio::time::Instant;

use super::{LimitSignal, LimitState, LimitVersion};
use crate::office::OfficeGrant;

model::record! {
    /// An upstream for which a permit is drawn.
    pub struct PermitCandidate {
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// Its limit as the sender knows it.
        pub state: LimitState,
    }

    /// A draw of one permit, for any of some upstreams.
    pub struct PermitRequest {
        /// The service.
        pub service: ids::ServiceId,
        /// The data centre of all candidates, whose owner handles the draw.
        pub data_centre: ids::DataCentreId,
        /// The upstreams to which the request may be sent.
        pub candidates: Vec<PermitCandidate>,
    }

    /// Permission to send one request to an upstream with a limit.
    #[derive(Eq)]
    pub struct Permit {
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// The version of the limit that the permit is part of.
        pub version: LimitVersion,
    }

    /// What the owner knows of a candidate.
    #[derive(Copy)]
    pub struct PermitOutlook {
        /// Its limit.
        pub state: LimitState,
        /// Milliseconds until the next permit; 0 if there is one.
        pub wait_millis: u32,
    }

    /// The reply to a draw.
    pub struct PermitReply {
        /// The permit, if there was one.
        pub permit: Option<Permit>,
        /// What the owner knows of each candidate, in the order of the request.
        pub outlooks: Vec<PermitOutlook>,
    }

    /// What a response stated about the limit of its upstream.
    pub struct LimitReport {
        /// The service.
        pub service: ids::ServiceId,
        /// The data centre of the upstream, whose owner handles the report.
        pub data_centre: ids::DataCentreId,
        /// The upstream.
        pub upstream: ids::UpstreamId,
        /// What the response stated.
        pub signal: LimitSignal,
        /// The version of the permit with which the request was sent; `None` if it was sent
        /// without one.
        pub permit: Option<LimitVersion>,
        /// The version of the limit that the sender knows, which an owner may have forgotten.
        pub known: LimitVersion,
    }
}

impl PermitOutlook {
    /// Time until the next permit.
    pub const fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_millis as u64)
    }
}

/// A draw and what came of it.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitDraw {
    /// The draw.
    pub request: PermitRequest,
    /// The reply; `None` if the owner did not send one.
    pub reply: Option<PermitReply>,
    /// Who replied, and until when a permit may be used.
    pub grant: Option<OfficeGrant>,
    /// Whether no further permit is drawn for the request: without this one, it goes to an
    /// upstream without a limit.
    pub is_last: bool,
}

impl PermitDraw {
    /// The permit that was granted, unless it is too old to be used: its owner may have granted
    /// others since, or a new owner taken over.
    pub fn valid_permit(&self, now: Instant) -> Option<&Permit> {
        let grant = self.grant.as_ref()?;
        let permit = self.reply.as_ref()?.permit.as_ref();
        permit.filter(|_| grant.is_valid(now))
    }
}

impl LimitReport {
    /// The limit that the response names.
    pub const fn named(&self) -> Option<sizes::RateLimit> {
        match self.signal {
            LimitSignal::Named(rate) => Some(rate),
            LimitSignal::Absent | LimitSignal::Unknown => None,
        }
    }
}
