//! Tests of the commands against a running administration API.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use admin::{AdminProcess, AdminSettings};
use telemetry::logs::{LogFormat, LogLevel};
use testbed::plan::ANY_PORT;
use testbed::{ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

const TOKEN: &str = "a-root-token-for-tests";

/// A testbed, its administration API, and a folder for the files of the test.
struct CtlFixture {
    testbed: Testbed,
    api: AdminProcess,
    folder: PathBuf,
}

impl CtlFixture {
    async fn start(test: &str) -> Self {
        let view = ServicePlan::lookups("view", "/view", 6);
        let testbed = Testbed::start(TestbedPlan::single_node(vec![view]))
            .await
            .unwrap();
        let settings = AdminSettings {
            address: ANY_PORT,
            platform_address: testbed.platform.address(),
            root_token: Some(TOKEN.into()),
            log_format: LogFormat::Text,
            log_level: LogLevel::Error,
        };
        let api = AdminProcess::start(&settings).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        let fixture = Self {
            testbed,
            api,
            folder,
        };
        let deadline = Instant::now() + Duration::from_secs(10);
        while fixture.ctl(&["status"]).await.status.code() != Some(0) {
            assert!(
                Instant::now() < deadline,
                "the API did not respond within 10 s"
            );
            time::sleep(Duration::from_millis(50)).await;
        }
        fixture
    }

    /// Runs a command with the root token.
    async fn ctl(&self, arguments: &[&str]) -> Output {
        self.ctl_as(TOKEN, arguments).await
    }

    async fn ctl_as(&self, token: &str, arguments: &[&str]) -> Output {
        let address = self.api.address.to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrydyke-ctl"));
        command
            .args(["--admin", &address, "--token", token])
            .args(arguments);
        tokio::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }

    /// Writes a file and returns its path.
    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

/// Standard output followed by standard error.
fn text(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

/// A sheet with the testbed's service and the given capacity floor.
fn sheet(fixture: &CtlFixture, floor: u32) -> String {
    let header = "kind;name;service;floor;deadline;address;data-centre;slots;prefix";
    let mut rows = vec![header.to_owned(), format!("service;view;;{floor};4s;;;;")];
    rows.extend(fixture.testbed.upstreams.iter().map(|(id, upstream)| {
        let address = upstream.link.address();
        format!("upstream;{id};view;;;{address};ikeja;4;")
    }));
    rows.push("route;view;view;;;;;;/view\n".to_owned());
    rows.join("\n")
}

/// Guards against a sheet that is applied to another configuration than the one it was
/// planned for, and against faults that are not reported for every row.
#[tokio::test(flavor = "multi_thread")]
async fn a_sheet_is_checked_planned_and_applied_at_the_planned_generation_only() {
    let fixture = CtlFixture::start("sheet").await;
    let file = fixture.write("good.csv", &sheet(&fixture, 8));
    assert_eq!(
        fixture.ctl(&["sheet", "check", &file]).await.status.code(),
        Some(0)
    );
    let plan = fixture.ctl(&["sheet", "plan", &file]).await;
    assert!(
        text(&plan).contains("changes  service view (floor: 4 to 8)"),
        "{}",
        text(&plan)
    );
    assert!(text(&plan).contains("--generation 2"), "{}", text(&plan));
    let apply = ["sheet", "apply", &file, "--generation", "2"];
    let first = fixture.ctl(&apply).await;
    assert!(
        text(&first).contains("Accepted as generation 3"),
        "{}",
        text(&first)
    );
    let second = fixture.ctl(&apply).await;
    assert_eq!(second.status.code(), Some(3), "{}", text(&second));
    assert!(
        text(&second).contains("generation 3 by root"),
        "{}",
        text(&second)
    );
    let faulty = fixture.write("faulty.csv", &sheet(&fixture, 8).replace("4;\n", "four;\n"));
    let check = fixture.ctl(&["sheet", "check", &faulty]).await;
    assert_eq!(check.status.code(), Some(1));
    assert_eq!(
        text(&check).matches("column slots: \"four\"").count(),
        6,
        "{}",
        text(&check)
    );
}

/// Guards against a drain that takes effect but cannot be seen by operators.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_shows_up_in_the_list_the_status_and_the_audit() {
    let fixture = CtlFixture::start("drains").await;
    let drain = fixture.ctl(&["drain", "view", "view-1"]).await;
    assert_eq!(drain.status.code(), Some(0), "{}", text(&drain));
    let list = text(&fixture.ctl(&["list", "upstreams"]).await);
    let line = list
        .lines()
        .find(|line| line.starts_with("view-1 "))
        .unwrap();
    assert!(line.ends_with("draining"), "{line}");
    let status = fixture.ctl(&["--json", "status"]).await;
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(status["services"][0]["active_slots"], 20);
    let audit = text(&fixture.ctl(&["audit", "--most", "1"]).await);
    assert!(
        audit.contains("root: set view-1 of view to draining"),
        "{audit}"
    );
    let undrain = fixture.ctl(&["undrain", "view", "view-1"]).await;
    assert!(
        text(&undrain).contains("undrains upstream view-1"),
        "{}",
        text(&undrain)
    );
}

/// Guards against a route to a missing service that is accepted, and against removing an
/// object that does not exist without an error.
#[tokio::test(flavor = "multi_thread")]
async fn objects_are_put_from_files_and_removed_by_name() {
    let fixture = CtlFixture::start("parts").await;
    let workspace = fixture.write("space.json", r#"{"id": "lagos", "limit": 7}"#);
    let put = fixture.ctl(&["put", "workspace", &workspace]).await;
    assert_eq!(put.status.code(), Some(0), "{}", text(&put));
    assert!(text(&fixture.ctl(&["list", "workspaces"]).await).contains("lagos"));
    let route = r#"{"id": "r", "host": null, "prefix": "/r", "methods": [], "service": "nobody", "repeat": "always"}"#;
    let rejected = fixture
        .ctl(&["put", "route", &fixture.write("route.json", route)])
        .await;
    assert_eq!(rejected.status.code(), Some(1));
    assert!(
        text(&rejected).contains("service nobody does not exist"),
        "{}",
        text(&rejected)
    );
    let removed = fixture.ctl(&["remove", "workspace", "lagos"]).await;
    assert!(
        text(&removed).contains("removes  workspace lagos"),
        "{}",
        text(&removed)
    );
    assert_eq!(
        fixture
            .ctl(&["remove", "workspace", "lagos"])
            .await
            .status
            .code(),
        Some(1)
    );
}

/// Guards against scripts that cannot determine why a command failed.
#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_distinguish_rejections_invalid_usage_and_an_unavailable_api() {
    let fixture = CtlFixture::start("codes").await;
    assert_eq!(
        fixture
            .ctl_as("nobody-knows-me", &["status"])
            .await
            .status
            .code(),
        Some(1)
    );
    assert_eq!(
        fixture.ctl(&["list", "lodges"]).await.status.code(),
        Some(2)
    );
    assert_eq!(
        fixture.ctl(&["no-such-command"]).await.status.code(),
        Some(2)
    );
    let issued = fixture.ctl(&["token", "issue", "kano", "viewer"]).await;
    let token = text(&issued).trim().to_owned();
    assert_eq!(
        fixture.ctl_as(&token, &["status"]).await.status.code(),
        Some(0)
    );
    let rejected = fixture.ctl_as(&token, &["drain", "view", "view-1"]).await;
    assert_eq!(rejected.status.code(), Some(1));
    assert!(
        text(&rejected).contains("needs operator"),
        "{}",
        text(&rejected)
    );
    let CtlFixture { api, folder, .. } = fixture;
    let address = api.address.to_string();
    api.stop().await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrydyke-ctl"));
    command.args(["--admin", &address, "--token", TOKEN, "status"]);
    assert_eq!(command.output().unwrap().status.code(), Some(4));
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrydyke-ctl"));
    let path = folder.to_str().unwrap();
    let created = command.args(["new-ca", path]).output().unwrap();
    assert!(
        [Some(0), Some(2)].contains(&created.status.code()),
        "{}",
        text(&created)
    );
    assert!(folder.join("ca.pem").exists() && folder.join("ca-key.pem").exists());
}

/// Guards against values that are lost in the query, and against a rejection that is not told.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_tells_where_it_would_send_a_request() {
    let fixture = CtlFixture::start("where").await;
    let entry = fixture.testbed.entries.values().next().unwrap();
    let node = entry.ops_address.to_string();
    let deadline = Instant::now() + Duration::from_secs(10);
    let ask = async |url: &str| {
        let output = fixture.ctl(&["where", "--node", &node, "GET", url]).await;
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
        text(&output)
    };
    let mut told = ask("http://site.example/view/a%20b?c=d&e=f").await;
    while told.contains("not-ready") && Instant::now() < deadline {
        time::sleep(Duration::from_millis(50)).await;
        told = ask("http://site.example/view/a%20b?c=d&e=f").await;
    }
    assert!(told.contains("service view\n"), "{told}");
    assert_eq!(told.matches(" healthy ").count(), 6, "{told}");
    assert_eq!(told.matches("\n*").count(), 1, "{told}");
    assert!(told.contains("It would go to view-"), "{told}");
    let rejected = ask("http://site.example/nowhere").await;
    let expected = "It would be rejected with no-route: no route for GET /nowhere.\n";
    assert!(rejected.ends_with(expected), "{rejected}");
    let output = fixture
        .ctl(&["where", "--node", &node, "GET", "/view/1"])
        .await;
    assert_eq!(output.status.code(), Some(2));
    let output = fixture
        .ctl(&["where", "--node", "127.0.0.1:1", "GET", "http://h/"])
        .await;
    assert_eq!(output.status.code(), Some(4));
}
