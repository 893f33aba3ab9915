//! The class of a request when capacity is not enough for all, and why it was rejected.

use std::time::Duration;

use model::config::Route;
use model::error::FleetError;
use policy::access::CallerAccess;
use policy::limit::{FlowKey, RequestClass};
use policy::service::WaitOutlook;

use crate::service::AdmissionError;

/// The flow of a request is its workspace, or its route if it has none; the priority of the
/// workspace goes before that of the route.
pub(super) fn classify(access: &CallerAccess, route: &Route) -> RequestClass {
    let workspace = access.workspace.clone().map(FlowKey::Workspace);
    RequestClass {
        flow: workspace.unwrap_or_else(|| FlowKey::Route(route.id.clone())),
        priority: access.terms.priority.unwrap_or(route.options.priority),
    }
}

/// Adds what an admission error says of the wait to the error that the caller gets.
pub(super) fn explain(failure: FleetError, error: &AdmissionError) -> FleetError {
    let failure = match error.outlook {
        Some(WaitOutlook { expected, left }) if failure.kind() == error.kind => {
            let detail = format!(
                "{}; it would have waited {} ms and had {} ms left to wait",
                failure.detail(),
                millis(expected),
                millis(left)
            );
            FleetError::new(failure.kind(), detail)
        }
        _ => failure,
    };
    failure.with_retry_after(error.retry_after)
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}
