//! Tests of the calls that the client makes and of the outcomes that it reports.

mod common;

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use common::{FakeDaemon, broken_address, closed_address, run, run_text, text_of};
use insta::assert_snapshot;
use parsleywalk_api::{ConfigurationApply, ZoneCommand};
use parsleywalk_units::ZoneDirection;
use rstest::rstest;
use tempfile::TempDir;

const VALID_CATALOG: &str = "version: 1\nteams: [{ name: a, weight: 1 }]\nservices: []\n";
const ACCEPTED: &str = r#"{ "outcome": "accepted", "message": "done" }"#;
const REFUSED: &str = r#"{ "outcome": "refused", "message": "version 1 is taken by operation op-7" }"#;
const NOT_RUN: &str = r#"{ "outcome": "not_run", "reason": "no leader", "retry_after": "1s" }"#;
const UNKNOWN: &str = r#"{ "outcome": "unknown", "reason": "no answer from the leader" }"#;
const BAD_TOKEN: &str = r#"{ "outcome": "not_run", "reason": "wrong token" }"#;

fn file(folder: &TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Runs a zone change against daemons with these responses, in this order. Returns the exit code and the number of calls
/// that each daemon received.
fn zone_out(daemons: &[(u16, &str)]) -> (i32, Vec<usize>) {
    let daemons: Vec<FakeDaemon> = daemons.iter().map(|(status, body)| FakeDaemon::fixed(*status, body)).collect();
    let addresses: Vec<String> =
        daemons.iter().map(|daemon| format!("--operator-address {}", daemon.address)).collect();
    let output = run(&format!("{} zone out zone-a", addresses.join(" ")));
    (output.status.code().unwrap(), daemons.iter().map(|daemon| daemon.received().len()).collect())
}

/// Guards against reporting a refusal although an earlier attempt may have taken effect, against a second attempt after
/// one that settled the call, and against giving up while another daemon could serve the call.
#[rstest]
#[case::accepted(&[(200, ACCEPTED), (200, ACCEPTED)], 0, &[1, 0])]
#[case::refused_in_reply(&[(200, REFUSED), (200, ACCEPTED)], 1, &[1, 0])]
#[case::refused_with_status(&[(409, REFUSED), (200, ACCEPTED)], 1, &[1, 0])]
#[case::wrong_token(&[(401, BAD_TOKEN), (200, ACCEPTED)], 1, &[1, 0])]
#[case::busy_then_accepted(&[(503, NOT_RUN), (200, ACCEPTED)], 0, &[1, 1])]
#[case::all_busy(&[(503, NOT_RUN), (503, NOT_RUN)], 1, &[1, 1])]
#[case::unknown_then_accepted(&[(503, UNKNOWN), (200, ACCEPTED)], 0, &[1, 1])]
#[case::unknown_then_busy(&[(503, UNKNOWN), (503, NOT_RUN)], 3, &[1, 1])]
#[case::unknown_then_wrong_token(&[(503, UNKNOWN), (401, BAD_TOKEN)], 3, &[1, 1])]
#[case::unreadable(&[(200, "{\"outcome\":")], 3, &[1])]
#[case::server_fault_without_refusal(&[(500, "panic")], 3, &[1])]
fn outcome_follows_every_attempt(#[case] daemons: &[(u16, &str)], #[case] code: i32, #[case] calls: &[usize]) {
    assert_eq!(zone_out(daemons), (code, calls.to_vec()));
}

/// Guards against a resend with a new operation id, which would apply the change twice.
#[test]
fn next_daemon_gets_the_same_operation() {
    let folder = TempDir::new().unwrap();
    let (catalog, token) = (file(&folder, "catalog.yaml", VALID_CATALOG), file(&folder, "token", "secret-1\n"));
    let (first, second) = (FakeDaemon::fixed(503, UNKNOWN), FakeDaemon::fixed(200, ACCEPTED));
    let daemons = format!(
        "--operator-address {} --operator-address {} --operator-address {} --operator-address {}",
        closed_address(),
        broken_address(),
        first.address,
        second.address
    );
    let applied = run_text(&format!("{daemons} --token-file {token} apply {catalog}"));
    assert_eq!(applied, "exit 0\naccepted: done\n");
    let calls = [first.received().remove(0), second.received().remove(0)];
    let messages = calls.each_ref().map(|call| serde_json::from_str::<ConfigurationApply>(&call.body).unwrap());
    assert_eq!(messages[0], messages[1]);
    assert_eq!((messages[0].text.as_str(), messages[0].operation.as_str().len()), (VALID_CATALOG, 35));
    assert!(calls.iter().all(|call| call.token.as_deref() == Some("Bearer secret-1")));
    assert!(calls.iter().all(|call| call.line == "POST /v1/configuration"));

    run(&format!("--operator-address {} zone in zone-c --operation op-42", second.address));
    let call = second.received().remove(1);
    let command: ZoneCommand = serde_json::from_str(&call.body).unwrap();
    assert_eq!((call.line.as_str(), command.direction), ("POST /v1/zones/zone-c", ZoneDirection::In));
    assert_eq!((command.operation.as_str(), call.token), ("op-42", None));
}

/// Guards against an error for an unknown outcome that lacks the operation id needed to send the operation again.
#[test]
fn unknown_outcome_names_the_operation() {
    let folder = TempDir::new().unwrap();
    let catalog = file(&folder, "catalog.yaml", VALID_CATALOG);
    let output = run(&format!("--output json --operator-address {} apply {catalog}", broken_address()));
    let error: serde_json::Value = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!((output.status.code(), &error["exit"]), (Some(3), &serde_json::json!(3)));
    assert!(error["operation"].as_str().unwrap().starts_with("op-"));
}

/// Guards against sending a command without an operation id to a second daemon after the first may have received it.
#[test]
fn replica_change_is_not_resent_after_it_may_have_arrived() {
    let second = FakeDaemon::fixed(200, ACCEPTED);
    let broken = broken_address();
    let output = run(&format!("--operator-address {broken} --operator-address {} replica add 8", second.address));
    assert_eq!((output.status.code(), second.received().len()), (Some(3), 0));
    let closed = closed_address();
    let output = run(&format!("--operator-address {closed} --operator-address {} replica add 8", second.address));
    assert_eq!((output.status.code(), second.received().len()), (Some(0), 1));
    assert_eq!(second.received()[0].body, r#"{"change":{"add":8}}"#);
}

/// Guards against accepting a truncated response as complete.
#[test]
fn answer_that_was_cut_off_is_no_answer() {
    let daemon = FakeDaemon::start_raw(|_| {
        let mut response = rouille::Response::from_data("application/json", ACCEPTED);
        let short = std::io::Cursor::new(ACCEPTED.as_bytes().to_vec());
        response.data = rouille::ResponseBody::from_reader_and_size(short, ACCEPTED.len() + 1);
        response
    });
    let text = run_text(&format!("--timeout 1s --operator-address {} zone out zone-a", daemon.address));
    assert!(text.starts_with("exit 3") && text.contains("cut off"), "{text}");
}

/// Guards against a client that waits forever for a daemon that never responds.
#[test]
fn silent_daemon_is_left_after_the_timeout() {
    let silent = FakeDaemon::start(|_| {
        thread::sleep(Duration::from_secs(30));
        (200, ACCEPTED.to_owned())
    });
    let start = Instant::now();
    let output = run(&format!("--timeout 300ms --operator-address {} zone out zone-a", silent.address));
    assert_eq!(output.status.code(), Some(3), "{}", text_of(&output));
    assert!(start.elapsed() < Duration::from_secs(10));
    let query = run(&format!("--timeout 300ms --operator-address {} status", silent.address));
    assert_eq!(query.status.code(), Some(4), "a query that failed has changed nothing");
}

/// Guards against local errors that reach a daemon or end with the wrong exit code.
#[test]
fn local_errors_call_no_daemon() {
    let folder = TempDir::new().unwrap();
    let daemon = FakeDaemon::fixed(200, ACCEPTED);
    let catalog = file(&folder, "catalog.yaml", VALID_CATALOG);
    let broken = file(&folder, "broken.yaml", "version: 0\ncolour: green\n");
    let empty = file(&folder, "empty", "\n");
    let address = format!("--operator-address {}", daemon.address);
    let shown = |text: String| text.replace(folder.path().to_str().unwrap(), "FOLDER");
    let code = |arguments: String| run(&arguments).status.code().unwrap();
    assert_snapshot!("check_good", shown(run_text(&format!("check {catalog}"))));
    assert_snapshot!("check_broken", shown(run_text(&format!("check {broken}"))));
    assert_eq!(code(format!("{address} apply {broken}")), 1);
    assert_eq!(code(format!("{address} apply {catalog}.gone")), 2);
    assert_eq!(code(format!("{address} --token-file {empty} apply {catalog}")), 2);
    assert_eq!(code(format!("apply {catalog}")), 2, "no address");
    assert_eq!(code(format!("{address} zone sideways zone-a")), 2);
    assert_eq!(code("--operator-address daemon.example:1 status".to_owned()), 2, "addresses are IP addresses");
    assert!(daemon.received().is_empty());
    assert_eq!(code(format!("--operator-address {} zone out zone-a", closed_address())), 4);
}
