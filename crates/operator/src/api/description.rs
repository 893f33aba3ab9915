//! The `OpenAPI` description of the administration API, which `/v1/openapi.json` returns.

use serde_json::{Map, Value, json};

/// One call: its method, path, summary and required role.
struct CallSummary(&'static str, &'static str, &'static str, &'static str);

/// All calls of the API, except for the health check.
const CALLS: [CallSummary; 19] = [
    CallSummary(
        "get",
        "/v1/status",
        "State of every service against its floor",
        "viewer",
    ),
    CallSummary(
        "get",
        "/v1/audit",
        "Newest accepted changes; ?most=N",
        "viewer",
    ),
    CallSummary(
        "get",
        "/v1/services",
        "Services with their upstreams",
        "viewer",
    ),
    CallSummary("get", "/v1/upstreams", "Upstreams", "viewer"),
    CallSummary("get", "/v1/routes", "Routes", "viewer"),
    CallSummary("get", "/v1/workspaces", "Workspaces", "viewer"),
    CallSummary("get", "/v1/openapi.json", "This description", "viewer"),
    CallSummary(
        "put",
        "/v1/services/{service}",
        "Create or replace a service",
        "operator",
    ),
    CallSummary(
        "delete",
        "/v1/services/{service}",
        "Remove a service",
        "operator",
    ),
    CallSummary(
        "put",
        "/v1/services/{service}/upstreams/{upstream}",
        "Create or replace an upstream",
        "operator",
    ),
    CallSummary(
        "delete",
        "/v1/services/{service}/upstreams/{upstream}",
        "Remove an upstream",
        "operator",
    ),
    CallSummary(
        "put",
        "/v1/services/{service}/upstreams/{upstream}/state",
        "Drain or undrain an upstream",
        "operator",
    ),
    CallSummary(
        "put",
        "/v1/routes/{route}",
        "Create or replace a route and its repeat rule",
        "operator",
    ),
    CallSummary("delete", "/v1/routes/{route}", "Remove a route", "operator"),
    CallSummary(
        "put",
        "/v1/workspaces/{workspace}",
        "Create or replace a workspace",
        "operator",
    ),
    CallSummary(
        "delete",
        "/v1/workspaces/{workspace}",
        "Remove a workspace",
        "operator",
    ),
    CallSummary(
        "post",
        "/v1/sheet",
        "Apply a sheet; ?plan=true only plans, ?large-share=true lets many leave",
        "operator",
    ),
    CallSummary("post", "/v1/tokens", "Issue a token", "admin"),
    CallSummary("delete", "/v1/tokens/{operator}", "Revoke a token", "admin"),
];

/// Builds the description as JSON.
pub fn openapi() -> Value {
    let mut paths: Map<String, Value> = Map::new();
    for CallSummary(method, path, summary, role) in CALLS {
        let entry = paths
            .entry(path)
            .or_insert_with(|| json!({ "parameters": parameters(path) }));
        entry[method] = operation(method, summary, role);
    }
    json!({
        "openapi": "3.1.0",
        "info": { "title": "gooseberrydyke administration API", "version": env!("CARGO_PKG_VERSION") },
        "security": [{ "token": [] }],
        "components": { "securitySchemes": { "token": { "type": "http", "scheme": "bearer" } } },
        "paths": paths,
    })
}

fn parameters(path: &str) -> Vec<Value> {
    let names = path
        .split('/')
        .filter_map(|part| part.strip_prefix('{')?.strip_suffix('}'));
    let parameter = |name| json!({ "name": name, "in": "path", "required": true, "schema": { "type": "string" } });
    names.map(parameter).collect()
}

fn operation(method: &str, summary: &str, role: &str) -> Value {
    let mut operation = json!({
        "summary": summary,
        "description": format!("Needs the role {role}."),
        "responses": {
            "200": { "description": "Done; ETag holds the generation." },
            "400": { "description": "Something in the call is not allowed; the body says what." },
            "401": { "description": "No valid token." },
            "403": { "description": "The role does not allow the call." },
            "404": { "description": "Named something that does not exist." },
            "409": { "description": "Another change came first, or a floor forbids it." },
            "502": { "description": "The change may or may not have been accepted." },
            "503": { "description": "The platform cannot be reached; nothing changed." },
        },
    });
    if method != "get" {
        operation["parameters"] = json!([{
            "name": "If-Match", "in": "header", "required": false,
            "description": "The generation that the caller saw.", "schema": { "type": "string" },
        }]);
    }
    operation
}
