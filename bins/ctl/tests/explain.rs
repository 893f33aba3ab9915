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

/// Log lines of three nodes about the workspace `acme`, and some about others. One node is
/// detached while it rejects requests, and its rejections go on at the end of the log.
const WORKSPACE_LINES: &str = r#"
{"time":"2026-06-09T01:23:40.000Z","level":"INFO","part":"answer","message":"A request was answered.","node":"front-1","request":"a1","route":"r1","service":"docs","generation":7,"age_ms":10,"status":200,"workspace":"acme"}
{"time":"2026-06-09T01:23:40.100Z","level":"INFO","part":"answer","message":"A request was answered.","node":"front-2","request":"a2","route":"r1","service":"docs","generation":7,"age_ms":10,"status":404,"workspace":"acme"}
{"time":"2026-06-09T01:23:40.200Z","level":"INFO","part":"answer","message":"A request was answered.","node":"front-2","request":"b1","route":"r1","service":"docs","generation":7,"age_ms":10,"status":200,"workspace":"bolt"}
{"time":"2026-06-09T01:23:40.300Z","level":"INFO","part":"answer","message":"A request was answered.","node":"front-2","request":"c1","route":"r1","service":"docs","generation":7,"age_ms":10,"status":200}
{"time":"2026-06-09T01:23:41.000Z","level":"WARN","part":"quota","message":"A workspace is over its quota; requests that it sends here are rejected.","node":"front-1","workspace":"acme"}
{"time":"2026-06-09T01:23:41.001Z","level":"INFO","part":"failure","message":"A request failed: workspace acme is over its quota of 20/s.","node":"front-1","request":"a3","route":"r1","service":"docs","generation":7,"age_ms":0,"host":"h","kind":"quota-exceeded","outcome":"not-run","workspace":"acme"}
{"time":"2026-06-09T01:23:41.500Z","level":"INFO","part":"failure","message":"A request failed: late.","node":"front-1","request":"a4","route":"r1","service":"docs","generation":7,"age_ms":1500,"host":"h","kind":"deadline-sent","outcome":"unknown","workspace":"acme"}
{"time":"2026-06-09T01:23:41.800Z","level":"INFO","part":"failure","message":"A request failed: no room.","node":"front-2","request":"a5","route":"r1","service":"docs","generation":7,"age_ms":0,"host":"h","kind":"expected-wait","outcome":"not-run","workspace":"acme"}
{"time":"2026-06-09T01:23:42.000Z","level":"WARN","part":"quota","message":"This node is detached: it spends at the rates that were reserved for it.","node":"front-3"}
{"time":"2026-06-09T01:23:42.500Z","level":"WARN","part":"quota","message":"A workspace is over its quota; requests that it sends here are rejected.","node":"front-3","workspace":"acme"}
{"time":"2026-06-09T01:23:42.501Z","level":"INFO","part":"failure","message":"A request failed: workspace acme is over its quota of 20/s.","node":"front-3","request":"a6","route":"r1","service":"docs","generation":7,"age_ms":0,"host":"h","kind":"quota-exceeded","outcome":"not-run","workspace":"acme"}
{"time":"2026-06-09T01:23:43.000Z","level":"WARN","part":"log","message":"12 lines of part failure were left out.","node":"front-1"}
{"time":"2026-06-09T01:23:43.000Z","level":"WARN","part":"log","message":"900 lines of part suspicion were left out.","node":"front-1"}
{"time":"2026-06-09T01:23:47.000Z","level":"INFO","part":"quota","message":"A workspace is within its quota again.","node":"front-1","workspace":"acme","refused":13}
{"time":"2026-06-09T01:23:47.500Z","level":"INFO","part":"quota","message":"A workspace is within its quota again.","node":"front-2","workspace":"bolt","refused":77}
"#;

/// Guards against requests of other workspaces that are counted, and against rejections that
/// pass for failures.
#[test]
fn the_requests_of_a_workspace_are_counted_by_end_kind_and_node() {
    let arguments = ["--json", "explain", "--workspace", "acme"];
    let report: serde_json::Value =
        serde_json::from_str(&text(&explain(&arguments, WORKSPACE_LINES))).unwrap();
    let front_1 = serde_json::json!({
        "answered": 1, "failed": 1, "rejected": 1,
        "statuses": {"200": 1},
        "failures": {"deadline-sent": 1},
        "rejections": {"quota-exceeded": 1},
    });
    assert_eq!(report["nodes"]["front-1"], front_1);
    let total = serde_json::json!({
        "answered": 2, "failed": 1, "rejected": 3,
        "statuses": {"200": 1, "404": 1},
        "failures": {"deadline-sent": 1},
        "rejections": {"expected-wait": 1, "quota-exceeded": 2},
    });
    assert_eq!(report["total"], total);
    assert_eq!(report["first"], "2026-06-09T01:23:40.000Z");
    assert_eq!(report["last"], "2026-06-09T01:23:47.000Z");
    let periods = serde_json::json!([
        {"node": "front-1", "from": "2026-06-09T01:23:41.000Z",
         "until": "2026-06-09T01:23:47.000Z", "refused": 13},
        {"node": "front-3", "from": "2026-06-09T01:23:42.500Z", "until": null, "refused": null},
    ]);
    assert_eq!(report["quota_refusals"], periods);
}

/// Guards against a conclusion that hides that a node was detached, or that lines are
/// missing.
#[test]
fn the_conclusion_names_the_quota_the_detached_node_and_the_missing_lines() {
    let report = text(&explain(
        &["explain", "--workspace", "acme"],
        WORKSPACE_LINES,
    ));
    let expected = "Of 6 requests of acme, 2 were answered, 1 failed (deadline-sent: 1) and 3 were \
                    rejected (mostly quota-exceeded: 2); its quota rejected requests from \
                    2026-06-09T01:23:41.000Z to 2026-06-09T01:23:42.501Z.\n\
                    Requests within the quota may have been rejected at nodes that were detached: \
                    front-3.\n\
                    Nodes left out 12 lines of the parts answer, failure and quota: the counts \
                    are lower bounds.\n";
    assert!(report.ends_with(expected), "{report}");
    assert!(report.contains("no end in these lines"), "{report}");
    assert!(!report.contains("bolt"), "another workspace: {report}");
}

/// Guards against rejections attributed to a quota that rejected nothing.
#[test]
fn a_workspace_that_its_quota_did_not_reject_is_reported_so() {
    let input: Vec<_> = WORKSPACE_LINES.lines().collect();
    let input = input[..5].join("\n");
    let report = text(&explain(&["explain", "--workspace", "acme"], &input));
    let expected = "Of 2 requests of acme, 2 were answered, 0 failed and 0 were rejected; its \
                    quota rejected none.\n";
    assert!(report.ends_with(expected), "{report}");
}

/// Guards against a first file that is taken for the id of a request, and against an empty
/// report for a name that is misspelt.
#[test]
fn the_files_of_a_workspace_are_read_and_an_unknown_workspace_is_an_error() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain-workspace");
    std::fs::create_dir_all(&folder).unwrap();
    let (first, second) = WORKSPACE_LINES.split_at(
        WORKSPACE_LINES
            .find("{\"time\":\"2026-06-09T01:23:41.500Z")
            .unwrap(),
    );
    let mut arguments = vec![
        "explain".to_owned(),
        "--workspace".to_owned(),
        "acme".to_owned(),
    ];
    for (name, part) in [("a.log", first), ("b.log", second)] {
        let path = folder.join(name);
        std::fs::write(&path, part).unwrap();
        arguments.push(path.display().to_string());
    }
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    let report = text(&explain(&arguments, ""));
    assert!(report.contains("Of 6 requests of acme"), "{report}");
    let output = explain(&["explain", "--workspace", "nobody"], WORKSPACE_LINES);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody"));
    let output = explain(&["explain"], "");
    assert_eq!(output.status.code(), Some(2));
}
