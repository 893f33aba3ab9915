//! The page that tells where a request would go now, and why. It sends and changes nothing.

use model::call::CallHead;
use model::error::FleetError;
use model::{config, ids};
use node::replica::QuotaHandle;
use percent_encoding::percent_decode_str;
use policy::service::{CandidateGroup, CandidateView, PreviewDecision, SelectionReason};
use serde_json::{Value, json};
use upstream::dispatch::{self, CallPreview};
use upstream::service::ServiceDirectory;

/// Builds the head of the request that a query describes.
///
/// # Errors
/// What is missing or invalid.
pub(crate) fn decode_query(query: &str) -> Result<CallHead, String> {
    let find = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(found, _)| *found == name)?;
        Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
    };
    let require = |name: &str| find(name).ok_or_else(|| format!("the query has no {name}"));
    let method: http::Method = require("method")?
        .parse()
        .map_err(|error| format!("method: {error}"))?;
    let target = require("path")?
        .parse()
        .map_err(|error| format!("path: {error}"))?;
    let workspace = find("workspace").map(|name| name.parse());
    Ok(CallHead {
        method,
        target,
        host: require("host")?.into(),
        headers: http::HeaderMap::new(),
        workspace: workspace
            .transpose()
            .map_err(|error| format!("workspace: {error}"))?,
        credential: None,
        idempotency_key: None,
        request_id: None,
        timeout: None,
    })
}

/// Tells where a request would go.
pub(crate) async fn describe(
    directory: &ServiceDirectory,
    quotas: Option<&QuotaHandle>,
    head: &CallHead,
) -> Value {
    let id = ids::RequestId::of_bytes(b"preview");
    let preview = match dispatch::preview(directory, id, head).await {
        Ok(preview) => preview,
        Err(error) => return describe_rejection(directory, &error),
    };
    let quota = match (&preview.workspace, preview.quota) {
        (Some(workspace), Some(quota)) => describe_quota(quotas, workspace, quota).await,
        _ => Value::Null,
    };
    let candidates = preview.balancer.candidates.iter().map(describe_candidate);
    json!({
        "generation": directory.config.generation.get(),
        "route": preview.route.as_str(),
        "service": preview.service.as_str(),
        "workspace": preview.workspace.as_ref().map(ids::WorkspaceId::as_str),
        "quota": quota,
        "waiting": preview.waiting,
        "decision": describe_decision(&preview),
        "candidates": candidates.collect::<Vec<_>>(),
    })
}

fn describe_rejection(directory: &ServiceDirectory, error: &FleetError) -> Value {
    json!({
        "generation": directory.config.generation.get(),
        "decision": {
            "result": "reject",
            "kind": error.kind().as_str(),
            "detail": error.detail(),
        },
    })
}

async fn describe_quota(
    quotas: Option<&QuotaHandle>,
    workspace: &ids::WorkspaceId,
    quota: config::WorkspaceQuota,
) -> Value {
    let view = match quotas {
        Some(quotas) => quotas.view(workspace.clone()).await,
        None => None,
    };
    let last_refusal = view.and_then(|view| view.last_refusal);
    let state = match (quotas, view) {
        (None, _) => "not-enforced",
        (Some(_), None) => "unused",
        (Some(_), Some(_)) if last_refusal.is_some() => "over",
        (Some(_), Some(_)) => "within",
    };
    json!({
        "rate_per_s": quota.rate.get(),
        "burst": quota.burst.get(),
        "state": state,
        "rejected_s_ago": last_refusal.map(|elapsed| elapsed.as_secs_f64()),
    })
}

fn describe_decision(preview: &CallPreview) -> Value {
    match &preview.balancer.decision {
        PreviewDecision::Send { upstream, reason } => {
            let (reason, group) = match reason {
                SelectionReason::OfferDue => ("offer-due", None),
                SelectionReason::TrialDue => ("trial-due", None),
                SelectionReason::Load(group) => ("least-load", Some(group.as_str())),
            };
            json!({
                "result": "send",
                "upstream": upstream.as_str(),
                "reason": reason,
                "group": group,
            })
        }
        PreviewDecision::Wait => json!({"result": "wait"}),
        PreviewDecision::RateLimited => json!({"result": "rate-limited"}),
        PreviewDecision::Reject(kind) => json!({"result": "reject", "kind": kind.as_str()}),
    }
}

fn describe_candidate(candidate: &CandidateView) -> Value {
    let view = &candidate.view;
    json!({
        "upstream": view.upstream.as_str(),
        "status": view.status.as_str(),
        "group": candidate.group.map(CandidateGroup::as_str),
        "in_flight": view.in_flight,
        "in_flight_of_other_nodes": candidate.in_flight_of_other_nodes,
        "limit": view.limit,
        "has_room": candidate.has_room,
        "pause_left_s": view.pause.map(|pause| pause.left.as_secs_f64()),
    })
}
