//! The administration API: roles, plans, conflicts, floors, audit.

use std::sync::Arc;

use gooseberrydyke_operator::api::calls::{AdminApi, ChangeCall};
use gooseberrydyke_operator::api::wire::TokenBody;
use gooseberrydyke_operator::change::ConfigStep;
use gooseberrydyke_operator::commit::Committer;
use gooseberrydyke_operator::tokens::{Caller, Role};
use model::config::UpstreamState;
use model::error::ErrorKind;
use model::ids::{OperatorId, UpstreamId};
use platform::PlatformClient;
use testbed::fleet::name;
use testbed::{ServicePlan, Testbed, TestbedPlan};

async fn api() -> (Testbed, AdminApi) {
    let mut view = ServicePlan::lookups("view", "/view", 6);
    view.floor = 20;
    let testbed = Testbed::start(TestbedPlan::small(vec![view]))
        .await
        .unwrap();
    let platform = PlatformClient::start(testbed.platform.address(), Arc::new(|_| {}));
    (testbed, AdminApi::new(Committer::new(platform)))
}

fn drain(caller: &Caller, upstream: &str) -> ChangeCall {
    ChangeCall {
        caller: caller.clone(),
        step: ConfigStep::SetState {
            service: name("view"),
            upstream: name::<UpstreamId>(upstream),
            state: UpstreamState::Draining,
        },
        expected: None,
        plan_only: false,
        large_share: false,
    }
}

fn caller(operator: &str, role: Role) -> Caller {
    Caller {
        operator: name::<OperatorId>(operator),
        role,
    }
}

#[tokio::test]
async fn only_valid_tokens_are_let_in_and_only_as_far_as_their_role_goes() {
    let (_scene, api) = api().await;
    let refused = api.authenticate(None).await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::Unauthenticated);
    api.adopt_token(name("root"), "a-long-root-token")
        .await
        .unwrap();
    let root = api.authenticate(Some("a-long-root-token")).await.unwrap();
    assert_eq!(root.role, Role::Admin);
    let body = TokenBody {
        operator: name("lagos"),
        role: Role::Viewer,
    };
    let issued = api.issue_token(&root, body).await.unwrap();
    let viewer = api.authenticate(Some(&issued.token)).await.unwrap();
    let error = api.change(drain(&viewer, "view-0")).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Forbidden);
    let plan = ChangeCall {
        plan_only: true,
        ..drain(&viewer, "view-0")
    };
    assert_eq!(api.change(plan).await.unwrap().differences.len(), 1);
    api.revoke_token(&root, &name("lagos")).await.unwrap();
    assert!(api.authenticate(Some(&issued.token)).await.is_err());
}

#[tokio::test]
async fn a_change_on_top_of_another_one_is_told_which() {
    let (_scene, api) = api().await;
    let seen = api.config().await.unwrap().generation;
    let kano = caller("kano", Role::Operator);
    let lagos = caller("lagos", Role::Operator);
    let call = ChangeCall {
        expected: Some(seen),
        ..drain(&kano, "view-0")
    };
    api.change(call).await.unwrap();
    let late = ChangeCall {
        expected: Some(seen),
        ..drain(&lagos, "view-1")
    };
    let error = api.change(late).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Conflict);
    assert!(
        error.detail().contains("kano") && error.detail().contains("view-0"),
        "{error}"
    );
}

#[tokio::test]
async fn a_drain_under_the_floor_is_refused_with_the_figures_and_changes_nothing() {
    let (_scene, api) = api().await;
    let operator = caller("kano", Role::Operator);
    api.change(drain(&operator, "view-0")).await.unwrap();
    let before = api.config().await.unwrap();
    let error = api.change(drain(&operator, "view-1")).await.unwrap_err();
    assert!(
        [ErrorKind::UnderFloor, ErrorKind::Invalid].contains(&error.kind()),
        "{error}"
    );
    assert!(error.detail().contains("20"), "{error}");
    assert_eq!(api.config().await.unwrap(), before);
}

#[tokio::test]
async fn many_upstreams_leave_at_once_only_with_the_flag() {
    let (_scene, api) = api().await;
    let operator = caller("kano", Role::Operator);
    let step = ConfigStep::ApplySheet {
        services: Vec::new(),
        routes: Vec::new(),
    };
    let call = ChangeCall {
        step,
        ..drain(&operator, "view-0")
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

#[tokio::test]
async fn every_accepted_change_has_an_entry_chained_to_the_one_before() {
    let (testbed, api) = api().await;
    let operator = caller("kano", Role::Operator);
    api.change(drain(&operator, "view-3")).await.unwrap();
    let entries = api.audit(100).await.unwrap().entries;
    let generations: Vec<_> = entries.iter().map(|entry| entry.generation.get()).collect();
    assert_eq!(generations, [3, 2, 1]);
    assert_eq!(entries[0].operator, name("kano"));
    assert!(entries[0].summary.lines[0].contains("view-3"));
    assert_eq!(entries[2].previous, None);
    let status = api.status().await.unwrap();
    assert_eq!(status.services[0].healthy_slots.get(), 20);
    assert_eq!(testbed.committer.read().await.unwrap().generation.get(), 3);
}
