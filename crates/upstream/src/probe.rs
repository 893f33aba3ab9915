//! Probes: whether an upstream can be reached, and the state and load that it reports.
//!
//! An upstream with a gray failure still responds well to probes, and a misconfigured
//! health endpoint fails them on a healthy upstream, so the response to a probe is no
//! evidence. Only a connection that cannot be opened counts against the upstream; a
//! drain signal and a load in the response are used.

use std::sync::Arc;
use std::time::Duration;

use http1::client;
use model::sizes::ByteSize;
use model::{call, config};
use tokio::time;

use crate::service::ServiceHandle;

/// Timeout for a whole probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest body of a response to a probe.
const BODY_SIZE_MAX: ByteSize = ByteSize::new(64 * 1024);

/// The result of one probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream returned a complete response.
    Responded,
    /// No connection could be opened.
    Unreachable,
    /// It accepted the connection but returned no complete response in time.
    NoResponse,
}

/// Probes one upstream. Reports a failed connection, a drain and a load to the task of
/// its service.
pub async fn run(
    handle: &ServiceHandle,
    service: &config::Service,
    upstream: Arc<config::Upstream>,
) -> ProbeResult {
    let probing = time::timeout(PROBE_TIMEOUT, exchange(handle, service, &upstream));
    let result = probing.await.unwrap_or(ProbeResult::NoResponse);
    if result == ProbeResult::Unreachable {
        handle.report_probe(upstream.id.clone(), false).await;
    }
    result
}

async fn exchange(
    handle: &ServiceHandle,
    service: &config::Service,
    upstream: &config::Upstream,
) -> ProbeResult {
    let Ok(connection) = client::open(upstream.address, PROBE_TIMEOUT).await else {
        return ProbeResult::Unreachable;
    };
    let request = http::Request::get(service.probe_path.as_ref())
        .header(http::header::HOST, upstream.address.to_string())
        .body(call::empty_body());
    let Ok(request) = request else {
        return ProbeResult::NoResponse;
    };
    let Ok((response, _)) = connection.exchange(request).await else {
        return ProbeResult::NoResponse;
    };
    let signals = handle
        .headers()
        .read_signals(response.status(), response.headers());
    let body = response.into_body().collect_up_to(BODY_SIZE_MAX).await;
    if signals.draining {
        handle.report_drain(upstream.id.clone()).await;
    }
    if let Some(load) = signals.load {
        handle.report_load(upstream.id.clone(), load).await;
    }
    match body {
        Ok(_) => ProbeResult::Responded,
        Err(error) => {
            log::debug!(target: "probe", upstream:% = upstream.id; "A probe failed: {error}.");
            ProbeResult::NoResponse
        }
    }
}
