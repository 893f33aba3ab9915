//! Calls of the administration API: tokens and roles, conflicts, the floor, large changes
//! and the audit trail.

use std::sync::Arc;

use gooseberrydyke_operator::api::calls::{AdminApi, ChangeCall};
use gooseberrydyke_operator::api::wire::TokenRequest;
use gooseberrydyke_operator::change::ConfigStep;
use gooseberrydyke_operator::commit::Committer;
use gooseberrydyke_operator::tokens::{Principal, Role};
use model::config::UpstreamState;
use model::error::ErrorKind;
use model::ids::{OperatorId, UpstreamId};
use platform::PlatformClient;
use testbed::fleet::parse_id;
use testbed::{ServicePlan, Testbed, TestbedPlan};

/// Starts a service with 24 slots and a floor of 20, and an API on its platform.
async fn start_api() -> (Testbed, AdminApi) {
    let mut view = ServicePlan::lookups("view", "/view", 6);
    view.floor = 20;
    let testbed = Testbed::start(TestbedPlan::single_node(vec![view]))
        .await
        .unwrap();
    let platform = PlatformClient::start(testbed.platform.address(), Arc::new(|_| {}));
    (testbed, AdminApi::new(Committer::new(platform)))
}

fn drain_call(principal: &Principal, upstream: &str) -> ChangeCall {
    ChangeCall {
        principal: principal.clone(),
        step: ConfigStep::SetState {
            service: parse_id("view"),
            upstream: parse_id::<UpstreamId>(upstream),
            state: UpstreamState::Draining,
        },
        expected: None,
        plan_only: false,
        large_share: false,
    }
}

fn principal(operator: &str, role: Role) -> Principal {
    Principal {
        operator: parse_id::<OperatorId>(operator),
        role,
    }
}

/// A viewer may plan a change but must not commit it, and a revoked token must stop
/// working. Calls that change something check the role themselves, so a missing check
/// would let a viewer change the fleet.
#[tokio::test]
async fn calls_need_a_valid_token_and_a_sufficient_role() {
    let (_testbed, api) = start_api().await;
    let error = api.authenticate(None).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Unauthenticated);
    api.ensure_admin_token(parse_id("root"), "a-long-root-token")
        .await
        .unwrap();
    let root = api.authenticate(Some("a-long-root-token")).await.unwrap();
    assert_eq!(root.role, Role::Admin);
    let body = TokenRequest {
        operator: parse_id("lagos"),
        role: Role::Viewer,
    };
    let issued = api.issue_token(&root, body).await.unwrap();
    let viewer = api.authenticate(Some(&issued.token)).await.unwrap();
    let error = api.change(drain_call(&viewer, "view-0")).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Forbidden);
    let plan = ChangeCall {
        plan_only: true,
        ..drain_call(&viewer, "view-0")
    };
    assert_eq!(api.change(plan).await.unwrap().differences.len(), 1);
    api.revoke_token(&root, &parse_id("lagos")).await.unwrap();
    assert!(api.authenticate(Some(&issued.token)).await.is_err());
}

/// Two operators who change the fleet at the same time start from the same generation. The
/// second change must not overwrite the first one unseen, and its error names the first.
#[tokio::test]
async fn a_change_based_on_an_older_generation_is_refused_and_names_the_newer_change() {
    let (_testbed, api) = start_api().await;
    let seen = api.config().await.unwrap().generation;
    let kano = principal("kano", Role::Operator);
    let lagos = principal("lagos", Role::Operator);
    let call = ChangeCall {
        expected: Some(seen),
        ..drain_call(&kano, "view-0")
    };
    api.change(call).await.unwrap();
    let outdated = ChangeCall {
        expected: Some(seen),
        ..drain_call(&lagos, "view-1")
    };
    let error = api.change(outdated).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Conflict);
    assert!(
        error.detail().contains("kano") && error.detail().contains("view-0"),
        "{error}"
    );
}

/// Draining one upstream after the other would take a service below its floor. The drain
/// that crosses the floor must fail as a whole, with an error that names the floor.
#[tokio::test]
async fn a_drain_below_the_floor_is_refused_with_the_slot_counts_and_changes_nothing() {
    let (_testbed, api) = start_api().await;
    let operator = principal("kano", Role::Operator);
    api.change(drain_call(&operator, "view-0")).await.unwrap();
    let before = api.config().await.unwrap();
    let error = api
        .change(drain_call(&operator, "view-1"))
        .await
        .unwrap_err();
    assert!(
        [ErrorKind::UnderFloor, ErrorKind::Invalid].contains(&error.kind()),
        "{error}"
    );
    assert!(error.detail().contains("20"), "{error}");
    assert_eq!(api.config().await.unwrap(), before);
}

/// An empty sheet omits every upstream and would drain the whole fleet. Such a change needs
/// the explicit flag.
#[tokio::test]
async fn draining_a_large_share_of_upstreams_needs_the_flag() {
    let (_testbed, api) = start_api().await;
    let operator = principal("kano", Role::Operator);
    let step = ConfigStep::ApplySheet {
        services: Vec::new(),
        routes: Vec::new(),
    };
    let call = ChangeCall {
        step,
        ..drain_call(&operator, "view-0")
    };
    let error = api.change(call.clone()).await.unwrap_err();
    assert!(error.detail().contains("100%"), "{error}");
    api.change(ChangeCall {
        large_share: true,
        ..call
    })
    .await
    .unwrap();
}

/// Each audit entry names the hash of the previous one. An entry that is missing or not
/// linked would hide a change from the audit trail.
#[tokio::test]
async fn every_accepted_change_has_an_audit_entry_linked_to_the_previous_one() {
    let (testbed, api) = start_api().await;
    let operator = principal("kano", Role::Operator);
    api.change(drain_call(&operator, "view-3")).await.unwrap();
    let entries = api.audit(100).await.unwrap().entries;
    let generations: Vec<_> = entries.iter().map(|entry| entry.generation.get()).collect();
    assert_eq!(generations, [3, 2, 1]);
    assert_eq!(entries[0].operator, parse_id("kano"));
    assert!(entries[0].summary.lines[0].contains("view-3"));
    assert_eq!(entries[2].previous, None);
    let status = api.status().await.unwrap();
    assert_eq!(status.services[0].healthy_slots.get(), 20);
    assert_eq!(testbed.committer.read().await.unwrap().generation.get(), 3);
}
