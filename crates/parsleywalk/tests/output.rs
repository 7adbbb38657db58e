//! Tests of the commands' output.

mod common;

use common::{FakeDaemon, run, run_text};
use insta::assert_snapshot;
use rstest::rstest;

const STATUS: &str = r#"{
  "vm": 3, "zone": "zone-b", "role": "leader", "leader": 3, "applied": 4711, "ready": true, "configuration": 7,
  "zones": [
    { "zone": "zone-a", "in_service": true, "workers": 17, "tasks": 120 },
    { "zone": "zone-b", "in_service": false, "workers": 16, "tasks": 0 }
  ],
  "tasks": { "queued": 4, "starting": 1, "running": 119, "stopping": 0 },
  "endpoints": 50, "requests": 12,
  "replicas": [
    { "vm": 1, "role": "voter", "held": 4711, "heard_ms": 12 },
    { "vm": 3, "role": "leader", "held": 4711, "heard_ms": 0 },
    { "vm": 7, "role": "observer", "held": 4702, "heard_ms": 64000 }
  ]
}"#;
const EXPLANATION: &str = r#"{ "job": { "team": "planning", "key": "night-4" }, "phase": "queued", "tasks": [
  { "task": 17, "reason": "waits: no worker in service has 8 free cores" },
  { "task": 18, "reason": "waits: team \u001b[31mplanning has used\nits quota of 400 cores" }
] }"#;
const JOB: &str = r#"{ "job": { "team": "planning", "key": "night-4" }, "phase": "running", "count": 140, "tasks": [
  { "task": 17, "attempt": 2, "phase": "running", "worker": "worker-31" },
  { "task": 18, "attempt": 0, "phase": "queued" }
] }"#;
const ENDED: &str =
    r#"{ "job": { "team": "planning", "key": "night-4" }, "phase": "failed", "count": 2, "tasks": [] }"#;
const RESULT: &str = r#"{ "job": { "team": "planning", "key": "night-4" }, "phase": "failed", "results": [
  { "task": 17, "attempt": 2, "phase": "done", "text": "212 posts" },
  { "task": 18, "attempt": 3, "phase": "failed", "text": "no terrain model for sheet 9" }
] }"#;
const CONFIGURATION: &str =
    r#"{ "version": 7, "digest": "9f86d081", "operation": "op-1", "text": "version: 7\nteams: []\nservices: []\n" }"#;
const FAILING: &str = r#"{ "jobs": [
  { "job": "00000000000000b0", "failed_runs": 412, "last_failure_age": "350ms", "last_task": "00000000000000b0.0.0.3",
    "last_worker": "i-7f3a91c2", "restart_delay": "4s" },
  { "job": "000000000000001f", "failed_runs": 1, "last_failure_age": "2m", "last_task": "000000000000001f.0.1.0",
    "last_worker": "i-02", "restart_delay": "0s" }
] }"#;
const WORKSPACES: &str = r#"{ "workspaces": [
  { "workspace": "survey", "allocated": { "cores": "62.5", "memory": "128GB", "accelerators": 0 }, "limit": "64c/-/-",
    "share": 0.0279, "waiting_jobs": 14, "limited_jobs": 12 },
  { "workspace": "terrain", "allocated": { "cores": "0", "memory": "0B", "accelerators": 0 }, "limit": "-/-/2a",
    "share": 0.0, "waiting_jobs": 0, "limited_jobs": 0 }
], "omitted": 3 }"#;
const ACCEPTED: &str = r#"{ "outcome": "accepted", "message": "zone zone-b is out of service", "version": 7, "in_force": [1, 2, 3], "not_heard": [7] }"#;

fn answer(line: &str) -> (u16, String) {
    let body = match line {
        "GET /v1/status" => STATUS,
        "GET /v1/jobs/planning/night-4/explain" => EXPLANATION,
        "GET /v1/jobs/planning/night-4" | "DELETE /v1/jobs/planning/night-4" | "POST /v1/jobs" => JOB,
        "GET /v1/jobs/planning/ended" => ENDED,
        "GET /v1/jobs/planning/ended/result" => RESULT,
        "GET /v1/configuration" => CONFIGURATION,
        "GET /failing-jobs" => FAILING,
        "GET /workspaces" => WORKSPACES,
        "GET /v1/dump" => r#"{ "revision": 4711 }"#,
        "POST /v1/zones/zone-b" | "POST /v1/replicas" => ACCEPTED,
        _ => return (404, r#"{ "outcome": "not_run", "reason": "no such job" }"#.to_owned()),
    };
    (200, body.to_owned())
}

/// Guards against output that loses a field, misaligns a table, or passes escape sequences from remote texts to the
/// terminal.
#[rstest]
#[case::status("status")]
#[case::explain("explain planning/night-4")]
#[case::explain_unknown("explain planning/other")]
#[case::config("config")]
#[case::dump("dump")]
#[case::failing("failing")]
#[case::workspaces("workspaces")]
#[case::submit("submit planning/night-4 slope-resurvey --count 140")]
#[case::result_running("result planning/night-4")]
#[case::result_failed("result planning/ended")]
#[case::cancel("cancel planning/night-4")]
#[case::zone_out("zone out zone-b --operation op-9")]
#[case::replica_replace("replica replace 4 9")]
fn text_of_command(#[case] arguments: &str) {
    let daemon = FakeDaemon::start(answer);
    let address = &daemon.address;
    let addresses = format!("--operator-address {address} --caller-address {address} --metrics-address {address}");
    let text = run_text(&format!("{addresses} {arguments}"));
    let name = arguments.replace(|letter: char| !letter.is_ascii_alphanumeric(), "_");
    assert_snapshot!(name, text);
}

/// Guards against JSON output that scripts can't parse because other text is mixed into it.
#[test]
fn json_output_is_the_message() {
    let daemon = FakeDaemon::start(answer);
    for (command, expected) in [("status", STATUS), ("config", CONFIGURATION)] {
        let output = run(&format!("--output json --operator-address {} {command}", daemon.address));
        let seen: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(seen, serde_json::from_str::<serde_json::Value>(expected).unwrap());
    }
}

/// Guards against help text that lacks the exit codes or a command.
#[test]
fn help_documents_commands_and_exit_codes() {
    assert_snapshot!(run_text("--help"));
}

/// Guards against a completion script that is empty or garbled by the replacement of control characters.
#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[case("elvish")]
#[case("powershell")]
fn completions_are_whole(#[case] shell: &str) {
    let text = run_text(&format!("completions {shell}"));
    assert!(text.starts_with("exit 0") && text.contains("replica") && !text.contains('\u{fffd}'));
}
