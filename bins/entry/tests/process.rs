//! Tests of the entry node's process: settings, graceful stop, faults and a killed process.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use node::keys::FleetCa;
use standin::platform_api::PlatformFaults;
use testbed::fleet::parse_id;
use testbed::{CallerClient, ClientRequest, ServicePlan, Testbed, TestbedPlan};
use tokio::time::{self, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_gooseberrydyke-entry");

/// A process that is killed when its handle is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs the binary until it exits.
fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().unwrap()
}

/// Generates a CA for a test; returns the paths of its certificate and its key.
fn write_ca(test: &str) -> (PathBuf, PathBuf) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&folder).unwrap();
    let ca = FleetCa::generate().unwrap();
    let (certificate, key) = (folder.join("ca.pem"), folder.join("ca-key.pem"));
    std::fs::write(&certificate, ca.certificate.as_bytes()).unwrap();
    std::fs::write(&key, ca.key.as_bytes()).unwrap();
    (certificate, key)
}

/// Starts a node that uses a testbed's platform; returns it with its address for callers,
/// which is read from the log line that reports it.
fn start(test: &str, testbed: &Testbed) -> (Process, SocketAddr) {
    let (certificate, key) = write_ca(test);
    let mut child = Command::new(BINARY)
        .args(["--node", test, "--data-centre", "ikeja"])
        .args([
            "--callers",
            "127.0.0.1:0",
            "--nodes",
            "127.0.0.1:0",
            "--ops",
            "127.0.0.1:0",
        ])
        .args(["--platform", &testbed.platform.address().to_string()])
        .args(["--ca-certificate", certificate.to_str().unwrap()])
        .args(["--ca-key", key.to_str().unwrap()])
        .args(["--stop-delay", "300ms", "--log-format", "json"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let process = Process(child);
    let serving_line = lines
        .by_ref()
        .map(Result::unwrap)
        .find(|line| line.contains("serves callers"));
    let line = serving_line.unwrap();
    std::thread::spawn(move || lines.for_each(drop));
    assert!(
        line.starts_with('{') && line.contains("\"part\":\"entry\""),
        "{line}"
    );
    let address_parts = line
        .split("callers at ")
        .nth(1)
        .unwrap()
        .split('.')
        .collect::<Vec<_>>();
    let address = address_parts[..4]
        .join(".")
        .trim_end_matches(|c: char| !c.is_ascii_digit())
        .to_owned();
    (process, address.parse().unwrap())
}

async fn wait_serving(address: SocketAddr) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while CallerClient::new(address)
        .call(ClientRequest::get("/view/up"))
        .await
        .status
        != 200
    {
        assert!(
            Instant::now() < deadline,
            "the node did not serve within 10 s"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn send_signal(process: &Process, signal: &str) {
    let id = process.0.id().to_string();
    assert!(
        Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success()
    );
}

/// A testbed whose upstreams take 400 ms for each request, so that requests are in flight
/// when a test stops or kills the node.
async fn slow_testbed() -> Testbed {
    let slow = |plan: ServicePlan| {
        plan.with_behaviour(|behaviour| behaviour.service_time = Duration::from_millis(400))
    };
    let services = vec![
        slow(ServicePlan::lookups("view", "/view", 3)),
        slow(ServicePlan::actions("book", "/book", 3)),
    ];
    Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap()
}

/// Guards against a flag whose help text does not name its environment variable; `--help`
/// is the only flag without one.
#[test]
fn help_names_every_flag_with_its_variable() {
    let help = run(&["--help"]);
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    let flags = text.matches("--").count();
    assert!(flags >= 17, "{text}");
    assert_eq!(
        text.matches("[GOOSEBERRYDYKE_").count(),
        flags - 1,
        "{text}"
    );
}

/// Guards against an error that does not name the setting that an operator must correct.
#[test]
fn an_invalid_setting_is_reported_with_its_name_its_value_and_the_allowed_values() {
    let base = [
        "--node",
        "n",
        "--data-centre",
        "d",
        "--platform",
        "127.0.0.1:1",
    ];
    for (flag, value, allowed) in [
        ("--stop-delay", "soon", "ms, s, m or h"),
        ("--head-bytes", "1", "8192 to 1048576"),
        ("--log-format", "xml", "text json"),
        ("--seeds", "a@b", "NAME@ADDRESS@DATA-CENTRE"),
    ] {
        let output = run(&[&base[..], &[flag, value]].concat());
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{flag}: {text}");
        for part in [flag, value, allowed] {
            assert!(text.contains(part), "{text:?} lacks {part:?}");
        }
    }
    assert_eq!(run(&["--no-such-flag"]).status.code(), Some(2));
}

/// Guards against responses that are cut off by a stop: the signal arrives while all
/// requests wait for their upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_completes_requests_in_flight_and_exits_successfully() {
    let testbed = slow_testbed().await;
    let (mut process, address) = start("terminated", &testbed);
    wait_serving(address).await;
    let callers: Vec<_> = (0..8)
        .map(|number| {
            tokio::spawn(async move {
                let request = ClientRequest::get(format!("/view/{number}"));
                CallerClient::new(address).call(request).await
            })
        })
        .collect();
    time::sleep(Duration::from_millis(150)).await;
    send_signal(&process, "-TERM");
    for caller in callers {
        let response = caller.await.unwrap();
        assert!(
            response.complete && response.status == 200,
            "incomplete response or error, status {}",
            response.status
        );
    }
    let status = tokio::task::spawn_blocking(move || process.0.wait())
        .await
        .unwrap()
        .unwrap();
    assert!(status.success(), "{status}");
}

/// Guards against faults that reach callers as errors. The platform is unavailable
/// throughout. Then all open upstream connections become unresponsive, and the link from
/// one upstream drops its responses. The first requests after each of these two faults may
/// end with an unknown outcome, later ones may not.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_serves_during_an_outage_with_unresponsive_connections_and_a_one_way_partition() {
    let services = vec![ServicePlan::lookups("view", "/view", 3)];
    let testbed = Testbed::start(TestbedPlan::single_node(services))
        .await
        .unwrap();
    let (_process, address) = start("faults", &testbed);
    wait_serving(address).await;
    testbed
        .platform
        .set_faults(PlatformFaults {
            outage: true,
            lose_responses: 0,
        })
        .await;
    let mut client = CallerClient::new(address);
    for number in 0..60 {
        assert_eq!(
            client
                .call(ClientRequest::get(format!("/view/{number}")))
                .await
                .status,
            200
        );
    }
    time::sleep(Duration::from_millis(2_200)).await;
    for upstream in testbed.upstreams.values() {
        upstream.link.stall_open_connections();
    }
    for number in 0..10 {
        let response = client
            .call(ClientRequest::get(format!("/view/s{number}")))
            .await;
        assert!(
            response.status == 200 || response.outcome() == Some("unknown"),
            "status {}, outcome {:?}",
            response.status,
            response.outcome()
        );
    }
    assert_eq!(
        client.call(ClientRequest::get("/view/new")).await.status,
        200
    );
    testbed
        .upstream("view-1")
        .link
        .change_faults(|faults| faults.drop_back = true);
    for number in 0..20 {
        let response = client
            .call(ClientRequest::get(format!("/view/p{number}")))
            .await;
        assert!(
            response.status == 200 || response.outcome() == Some("unknown"),
            "status {}, outcome {:?}",
            response.status,
            response.outcome()
        );
    }
    for number in 0..20 {
        let response = client
            .call(ClientRequest::get(format!("/view/q{number}")))
            .await;
        assert_eq!(response.status, 200, "{:?}", response.outcome());
    }
}

/// Guards against a second run of an action, or a false "not run", after the node that
/// claimed its key is killed while an upstream runs the action.
#[tokio::test(flavor = "multi_thread")]
async fn an_action_in_flight_on_a_killed_node_runs_at_most_once_and_its_key_stays_claimed() {
    let testbed = slow_testbed().await;
    let (process, address) = start("killed", &testbed);
    wait_serving(address).await;
    let request = ClientRequest::post("/book/1", "slot")
        .with_header("idempotency-key", "k1")
        .with_header("action-id", "k1");
    let first = {
        let request = request.clone();
        tokio::spawn(async move { CallerClient::new(address).call(request).await })
    };
    time::sleep(Duration::from_millis(250)).await;
    drop(process);
    let response = first.await.unwrap();
    assert!(!response.complete, "complete response from a killed node");
    // Another node must neither run the action again nor report that it did not run.
    for _ in 0..3 {
        let response = testbed.client(0).call(request.clone()).await;
        assert_ne!(response.status, 200);
        assert_ne!(response.outcome(), Some("not-run"), "the key is claimed");
        time::sleep(Duration::from_millis(200)).await;
    }
    let runs = testbed
        .ledger
        .run_counts()
        .await
        .get("k1")
        .copied()
        .unwrap_or(0);
    assert!(runs <= 1, "the action ran {runs} times");
    assert_eq!(parse_id::<model::ids::ServiceId>("book").as_str(), "book");
}
