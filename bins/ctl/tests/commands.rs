//! The command line against a running administration API.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use admin::{AdminProcess, AdminSettings};
use telemetry::logs::{LogFormat, LogLevel};
use testbed::plan::ANY_PORT;
use testbed::{ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

const TOKEN: &str = "a-root-token-for-tests";

struct Setup {
    testbed: Testbed,
    process: AdminProcess,
    folder: PathBuf,
}

impl Setup {
    async fn start(test: &str) -> Self {
        let view = ServicePlan::lookups("view", "/view", 6);
        let testbed = Testbed::start(TestbedPlan::small(vec![view]))
            .await
            .unwrap();
        let settings = AdminSettings {
            address: ANY_PORT,
            platform: testbed.platform.address(),
            root_token: Some(TOKEN.into()),
            log_format: LogFormat::Text,
            log_level: LogLevel::Error,
        };
        let process = AdminProcess::start(&settings).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        let setup = Self {
            testbed,
            process,
            folder,
        };
        let deadline = Instant::now() + Duration::from_secs(10);
        while setup.ctl(&["status"]).await.status.code() != Some(0) {
            assert!(Instant::now() < deadline, "the API does not answer");
            time::sleep(Duration::from_millis(50)).await;
        }
        setup
    }

    async fn ctl(&self, arguments: &[&str]) -> Output {
        self.ctl_as(TOKEN, arguments).await
    }

    async fn ctl_as(&self, token: &str, arguments: &[&str]) -> Output {
        let address = self.process.address.to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrydyke-ctl"));
        command
            .args(["--admin", &address, "--token", token])
            .args(arguments);
        tokio::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

fn text(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

fn sheet(setup: &Setup, floor: u32) -> String {
    let head = "kind;name;service;floor;deadline;address;data-centre;slots;prefix";
    let mut rows = vec![head.to_owned(), format!("service;view;;{floor};4s;;;;")];
    rows.extend(setup.testbed.upstreams.iter().map(|(id, upstream)| {
        let address = upstream.link.address();
        format!("upstream;{id};view;;;{address};ikeja;4;")
    }));
    rows.push("route;view;view;;;;;;/view\n".to_owned());
    rows.join("\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sheet_is_checked_planned_and_applied_at_the_planned_generation_only() {
    let setup = Setup::start("sheet").await;
    let file = setup.write("good.csv", &sheet(&setup, 8));
    assert_eq!(
        setup.ctl(&["sheet", "check", &file]).await.status.code(),
        Some(0)
    );
    let plan = setup.ctl(&["sheet", "plan", &file]).await;
    assert!(
        text(&plan).contains("changes  service view (floor: 4 to 8)"),
        "{}",
        text(&plan)
    );
    assert!(text(&plan).contains("--generation 2"), "{}", text(&plan));
    let apply = ["sheet", "apply", &file, "--generation", "2"];
    let first = setup.ctl(&apply).await;
    assert!(
        text(&first).contains("Accepted as generation 3"),
        "{}",
        text(&first)
    );
    let second = setup.ctl(&apply).await;
    assert_eq!(second.status.code(), Some(3), "{}", text(&second));
    assert!(
        text(&second).contains("generation 3 by root"),
        "{}",
        text(&second)
    );
    let faulty = setup.write("faulty.csv", &sheet(&setup, 8).replace("4;\n", "four;\n"));
    let check = setup.ctl(&["sheet", "check", &faulty]).await;
    assert_eq!(check.status.code(), Some(1));
    assert_eq!(
        text(&check).matches("column slots: \"four\"").count(),
        6,
        "{}",
        text(&check)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_lists_status_and_audit_show_what_happened() {
    let setup = Setup::start("drains").await;
    let drain = setup.ctl(&["drain", "view", "view-1"]).await;
    assert_eq!(drain.status.code(), Some(0), "{}", text(&drain));
    let list = text(&setup.ctl(&["list", "upstreams"]).await);
    let line = list
        .lines()
        .find(|line| line.starts_with("view-1 "))
        .unwrap();
    assert!(line.ends_with("draining"), "{line}");
    let status = setup.ctl(&["--json", "status"]).await;
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(status["services"][0]["active_slots"], 20);
    let audit = text(&setup.ctl(&["audit", "--most", "1"]).await);
    assert!(
        audit.contains("root: set view-1 of view to draining"),
        "{audit}"
    );
    let undrain = setup.ctl(&["undrain", "view", "view-1"]).await;
    assert!(
        text(&undrain).contains("undrains upstream view-1"),
        "{}",
        text(&undrain)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_are_put_and_removed_from_files() {
    let setup = Setup::start("parts").await;
    let space = setup.write("space.json", r#"{"id": "lagos", "limit": 7}"#);
    let put = setup.ctl(&["put", "workspace", &space]).await;
    assert_eq!(put.status.code(), Some(0), "{}", text(&put));
    assert!(text(&setup.ctl(&["list", "workspaces"]).await).contains("lagos"));
    let route = r#"{"id": "r", "host": null, "prefix": "/r", "methods": [], "service": "nobody", "repeat": "always"}"#;
    let refused = setup
        .ctl(&["put", "route", &setup.write("route.json", route)])
        .await;
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        text(&refused).contains("service nobody does not exist"),
        "{}",
        text(&refused)
    );
    let removed = setup.ctl(&["remove", "workspace", "lagos"]).await;
    assert!(
        text(&removed).contains("removes  workspace lagos"),
        "{}",
        text(&removed)
    );
    assert_eq!(
        setup
            .ctl(&["remove", "workspace", "lagos"])
            .await
            .status
            .code(),
        Some(1)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_tell_refusals_usage_and_silence_apart() {
    let setup = Setup::start("codes").await;
    assert_eq!(
        setup
            .ctl_as("nobody-knows-me", &["status"])
            .await
            .status
            .code(),
        Some(1)
    );
    assert_eq!(setup.ctl(&["list", "lodges"]).await.status.code(), Some(2));
    assert_eq!(setup.ctl(&["no-such-command"]).await.status.code(), Some(2));
    let issued = setup.ctl(&["token", "issue", "kano", "viewer"]).await;
    let token = text(&issued).trim().to_owned();
    assert_eq!(
        setup.ctl_as(&token, &["status"]).await.status.code(),
        Some(0)
    );
    let refused = setup.ctl_as(&token, &["drain", "view", "view-1"]).await;
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        text(&refused).contains("needs operator"),
        "{}",
        text(&refused)
    );
    let Setup {
        process, folder, ..
    } = setup;
    let address = process.address.to_string();
    process.stop().await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrydyke-ctl"));
    command.args(["--admin", &address, "--token", TOKEN, "status"]);
    assert_eq!(command.output().unwrap().status.code(), Some(4));
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrydyke-ctl"));
    let path = folder.to_str().unwrap();
    let made = command.args(["new-ca", path]).output().unwrap();
    assert!(
        [Some(0), Some(2)].contains(&made.status.code()),
        "{}",
        text(&made)
    );
    assert!(folder.join("ca.pem").exists() && folder.join("ca-key.pem").exists());
}
