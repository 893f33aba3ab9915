//! A request's story out of the logs of many nodes.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// What a hanging upstream, a node without books and a node that is behind leave
/// in the logs; one line has what a collector put before it, one is no log line.
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

fn text(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn a_hung_attempt_is_told_with_what_was_believed_of_its_upstream() {
    let story = text(&explain(&["explain", "hung"], LINES));
    let lines: Vec<_> = story.lines().collect();
    assert!(
        lines[0].contains("-1500 ms") && lines[0].contains("An upstream is avoided"),
        "{story}"
    );
    assert!(!story.contains("i-9:5"), "another upstream: {story}");
    assert!(
        story.contains("Sent to i-1:5, as a trial; there was suspicion against it then."),
        "{story}"
    );
    assert!(story.ends_with("Failed: deadline-sent; outcome: unknown.\n"));
}

#[test]
fn a_refusal_is_told_with_what_the_node_lacked() {
    let story = text(&explain(&["explain", "early"], LINES));
    assert!(
        story.contains("The source of the upstreams is away"),
        "{story}"
    );
    assert!(story.ends_with("Failed: not-ready; outcome: not-run.\n"));
}

#[test]
fn a_404_is_told_with_the_newer_configuration_of_another_node() {
    let story = text(&explain(&["explain", "unknown-route"], LINES));
    assert!(
        story.contains("front-5  replica: Configuration 4 is in force"),
        "{story}"
    );
    assert!(
        story.contains("front-2  replica: Configuration 7 is in force"),
        "{story}"
    );
}

#[test]
fn files_are_read_too_and_json_is_printed_on_request() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain");
    std::fs::create_dir_all(&folder).unwrap();
    let mut arguments = vec!["--json".to_owned(), "explain".to_owned(), "hung".to_owned()];
    for (number, part) in LINES.split("collector 17 ").enumerate() {
        let path = folder.join(format!("node-{number}.log"));
        std::fs::write(&path, part).unwrap();
        arguments.push(path.display().to_string());
    }
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    let story: serde_json::Value = serde_json::from_str(&text(&explain(&arguments, ""))).unwrap();
    assert_eq!(story["lines"].as_array().unwrap().len(), 3);
    assert_eq!(story["lines"][1]["facts"]["node"], "front-3");
}

#[test]
fn a_request_that_no_line_names_is_an_error() {
    let output = explain(&["explain", "nobody"], LINES);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody"));
    let output = explain(&["explain", "hung", "no-such-file.log"], "");
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-file.log"));
}
