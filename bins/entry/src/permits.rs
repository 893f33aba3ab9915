//! Connects the service tasks to the node's part in the sharing of rate limits.

use std::sync::Arc;

use node::limits::LimitFleet;
use policy::permit::{LimitRecord, PermitReply};
use telemetry::metrics::NodeMetrics;
use upstream::service::{LimitSink, PermitSource, ServiceDirectory};

/// Returns the callback for reports about limits.
pub(crate) fn limit_sink(limits: &LimitFleet) -> LimitSink {
    let limits = limits.clone();
    Arc::new(move |report| limits.report(report))
}

/// Returns the source of permits; counts each draw.
pub(crate) fn permit_source(limits: &LimitFleet, metrics: &Arc<NodeMetrics>) -> PermitSource {
    let (limits, metrics) = (limits.clone(), Arc::clone(metrics));
    PermitSource::new(move |request| {
        let (limits, metrics) = (limits.clone(), Arc::clone(&metrics));
        Box::pin(async move {
            let service = request.service.clone();
            let reply = limits.draw(request).await;
            metrics
                .record_permit_draw(&service, draw_label(reply.as_ref().map(|(reply, _)| reply)));
            reply
        })
    })
}

/// Forwards an announced limit to the task of its service.
pub(crate) async fn forward_limit(directory: &ServiceDirectory, record: LimitRecord) {
    if let Some(handle) = directory.handles.get(&record.service) {
        handle.send_limit(record.upstream, record.state).await;
    }
}

/// The value of the metric label `result`.
const fn draw_label(reply: Option<&PermitReply>) -> &'static str {
    match reply {
        Some(reply) if reply.permit.is_some() => "granted",
        Some(_) => "refused",
        None => "unanswered",
    }
}
