//! Which requests may be sent, and for which workspace.

use gooseberrydyke_policy::access::{self, AccessRefusal, CallerAccess};
use model::call::CallerKey;
use model::config::{AccessTable, KeyDigest, WorkspaceTerms};
use model::ids::RouteId;

fn key(text: &str) -> CallerKey {
    CallerKey::Digest(KeyDigest::of(text.as_bytes()))
}

fn table() -> AccessTable {
    let terms = WorkspaceTerms {
        priority: Some(3),
        quota: None,
    };
    AccessTable {
        workspaces: [("acme".parse().unwrap(), terms)].into(),
        keys: [(KeyDigest::of(b"k-1"), "acme".parse().unwrap())].into(),
        public_routes: [route("open")].into(),
    }
}

fn route(text: &str) -> RouteId {
    text.parse().unwrap()
}

#[test]
fn a_valid_key_gives_its_workspace_with_its_terms_on_every_route() {
    for name in ["look", "open"] {
        let access = access::check(&table(), &route(name), key("k-1")).unwrap();
        assert_eq!(access.workspace.unwrap().as_str(), "acme");
        assert_eq!(access.terms.priority, Some(3));
    }
}

#[test]
fn a_request_without_a_valid_key_is_rejected() {
    let cases = [
        (key("k-2"), AccessRefusal::Unknown),
        (CallerKey::Missing, AccessRefusal::Missing),
        (CallerKey::Unreadable, AccessRefusal::Unreadable),
    ];
    for (key, refusal) in cases {
        assert_eq!(access::check(&table(), &route("look"), key), Err(refusal));
    }
}

// A public route needs no key, and an unknown one must not make it fail.
#[test]
fn a_request_on_a_public_route_without_a_valid_key_has_no_workspace() {
    for key in [key("k-2"), CallerKey::Missing, CallerKey::Unreadable] {
        let access = access::check(&table(), &route("open"), key);
        assert_eq!(access, Ok(CallerAccess::default()));
    }
}

// A digest in a log line must not help to find the key.
#[test]
fn neither_a_digest_nor_its_debug_form_contains_the_key() {
    let text = format!("{:?}", key("k-distinctive"));
    assert!(!text.contains("distinctive"), "{text}");
    assert!(text.len() < 60, "{text}");
}
