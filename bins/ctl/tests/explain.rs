//! Tests of `explain`, which explains a request from the logs of many nodes.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// Log lines about an upstream that hangs, a node without snapshots, and a node with an old
/// configuration. One line has the prefix of a log collector, and one is not a log line.
const LINES: &str = r#"
{"time":"2026-06-09T01:23:40.000Z","level":"INFO","part":"replica","message":"Configuration 7 is in force, 4 before, with 19 routes.","node":"front-2","generation":7}
{"time":"2026-06-09T01:23:41.000Z","level":"INFO","part":"suspicion","message":"An upstream is avoided.","node":"front-1","service":"docs","upstream":"i-1:5","evidence":"overdue","probability":0.7}
collector 17 {"time":"2026-06-09T01:23:41.500Z","level":"INFO","part":"suspicion","message":"An upstream is avoided.","node":"front-1","service":"docs","upstream":"i-9:5","evidence":"overdue","probability":0.7}
a panic message or a banner
{"time":"2026-06-09T01:23:44.000Z","level":"INFO","part":"attempt","message":"An attempt ended: timed-out.","node":"front-3","request":"hung","service":"docs","upstream":"i-1:5","purpose":"first","trial":true,"age_ms":1500}
{"time":"2026-06-09T01:23:44.001Z","level":"INFO","part":"failure","message":"A request failed: 1 attempts at docs brought no answer.","node":"front-3","request":"hung","route":"r1","service":"docs","generation":7,"age_ms":1501,"host":"h","kind":"deadline-sent","outcome":"unknown"}
{"time":"2026-06-09T01:23:40.100Z","level":"WARN","part":"relay","message":"The source of the upstreams is away: the platform did not answer.","node":"front-4"}
{"time":"2026-06-09T01:23:44.000Z","level":"INFO","part":"failure","message":"A request failed: no configuration is in force yet.","node":"front-4","request":"early","route":"none","service":"none","generation":0,"age_ms":0,"host":"h","kind":"not-ready","outcome":"not-run"}
{"time":"2026-06-09T01:23:39.000Z","level":"INFO","part":"replica","message":"Configuration 4 is in force, 0 before, with 18 routes.","node":"front-5","generation":4}
{"time":"2026-06-09T01:23:45.000Z","level":"INFO","part":"failure","message":"A request failed: no route for GET /new/.","node":"front-5","request":"unknown-route","route":"none","service":"none","generation":4,"age_ms":0,"host":"h","kind":"no-route","outcome":"not-run"}
"#;

/// Runs the binary with the given standard input.
fn explain(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberrydyke-ctl"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(input.as_bytes()).unwrap();
    drop(stdin);
    child.wait_with_output().unwrap()
}

/// Standard output of a successful run.
fn text(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Guards against an explanation that leaves out the suspicion against the upstream, or
/// that includes lines about other upstreams.
#[test]
fn a_timed_out_attempt_is_explained_with_the_suspicion_against_its_upstream() {
    let explanation = text(&explain(&["explain", "hung"], LINES));
    let lines: Vec<_> = explanation.lines().collect();
    assert!(
        lines[0].contains("-1500 ms") && lines[0].contains("An upstream is avoided"),
        "{explanation}"
    );
    assert!(
        !explanation.contains("i-9:5"),
        "another upstream: {explanation}"
    );
    assert!(
        explanation.contains("Sent to i-1:5, as a trial; there was suspicion against it then."),
        "{explanation}"
    );
    assert!(explanation.ends_with("Failed: deadline-sent; outcome: unknown.\n"));
}

/// Guards against a rejection without its reason: the node could not read its upstreams.
#[test]
fn a_rejection_is_explained_with_the_unavailable_source_of_the_node() {
    let explanation = text(&explain(&["explain", "early"], LINES));
    assert!(
        explanation.contains("The source of the upstreams is away"),
        "{explanation}"
    );
    assert!(explanation.ends_with("Failed: not-ready; outcome: not-run.\n"));
}

/// Guards against a missing route without its reason: the node's configuration was older
/// than that of another node.
#[test]
fn a_404_is_explained_with_the_newer_configuration_of_another_node() {
    let explanation = text(&explain(&["explain", "unknown-route"], LINES));
    assert!(
        explanation.contains("front-5  replica: Configuration 4 is in force"),
        "{explanation}"
    );
    assert!(
        explanation.contains("front-2  replica: Configuration 7 is in force"),
        "{explanation}"
    );
}

#[test]
fn log_files_are_read_and_json_is_printed_on_request() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain");
    std::fs::create_dir_all(&folder).unwrap();
    let mut arguments = vec!["--json".to_owned(), "explain".to_owned(), "hung".to_owned()];
    for (number, part) in LINES.split("collector 17 ").enumerate() {
        let path = folder.join(format!("node-{number}.log"));
        std::fs::write(&path, part).unwrap();
        arguments.push(path.display().to_string());
    }
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    let timeline: serde_json::Value =
        serde_json::from_str(&text(&explain(&arguments, ""))).unwrap();
    assert_eq!(timeline["lines"].as_array().unwrap().len(), 3);
    assert_eq!(timeline["lines"][1]["facts"]["node"], "front-3");
}

#[test]
fn an_unknown_request_and_a_missing_file_are_errors_that_name_them() {
    let output = explain(&["explain", "nobody"], LINES);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody"));
    let output = explain(&["explain", "hung", "no-such-file.log"], "");
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-file.log"));
}
