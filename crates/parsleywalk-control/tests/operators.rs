//! Rules for operators' operations and for claims, one per test.

mod common;

use common::{configure, fuzz_catalog, ready_state, register, submit, time, unit, zone};
use parsleywalk_api::{OperationOutcome, TaskPhase};
use parsleywalk_control::{CommandRefusal, ControlCommand, ControlReply, ControlState, OperationAnswer};
use parsleywalk_units::{
    AttemptNumber, ClaimId, ClaimOutcome, ConfigurationVersion, RequestKey, TimeSpan, VmNumber, ZoneDirection,
};
use rstest::rstest;

fn operate(state: &mut ControlState, command: &ControlCommand) -> OperationAnswer {
    match state.apply(command).reply {
        ControlReply::Operation(answer) => answer,
        other => panic!("not an operation's answer: {other:?}"),
    }
}

/// Guards against two configurations with one version, and against a refusal that does not name the operation that took
/// the version.
#[test]
fn one_of_two_operations_with_the_same_version_is_accepted() {
    let mut state = ready_state();
    let won = operate(&mut state, &configure(2, "anna", fuzz_catalog(2, 9, 1, 1)));
    let lost = operate(&mut state, &configure(2, "ben", fuzz_catalog(2, 5, 3, 1)));
    assert_eq!((won.outcome, lost.outcome), (OperationOutcome::Accepted, OperationOutcome::Refused));
    let version = ConfigurationVersion::new(2);
    let refusal = CommandRefusal::VersionTaken { version, operation: unit("anna"), current: version };
    assert_eq!(lost.refusal, Some(refusal));
    let skipped = operate(&mut state, &configure(3, "eva", fuzz_catalog(4, 5, 3, 1)));
    let expected = ConfigurationVersion::new(3);
    let refusal = CommandRefusal::WrongVersion { version: ConfigurationVersion::new(4), expected };
    assert_eq!(skipped.refusal, Some(refusal));
    assert_eq!(state.configuration().unwrap().operation, unit("anna"));
}

/// Guards against a resend that is applied again after other operations or after a snapshot.
#[test]
fn a_resend_gets_the_stored_answer() {
    let mut state = ready_state();
    let command = zone(2, "out", "a", ZoneDirection::Out);
    let first = operate(&mut state, &command);
    operate(&mut state, &zone(3, "in", "a", ZoneDirection::In));
    let mut state = ControlState::decode(&state.encode()).unwrap();
    assert_eq!(operate(&mut state, &command), first);
    assert!(state.zone(&unit("a")).in_service, "the resend took the zone out again");
    let reused = state.apply(&zone(4, "out", "b", ZoneDirection::Out)).reply;
    assert_eq!(reused, ControlReply::Refused(CommandRefusal::OperationReused { operation: unit("out") }));
}

/// Guards against stored answers that grow without limit.
#[test]
fn the_last_4096_answers_are_kept() {
    let mut state = ready_state();
    for number in 0..4096 {
        operate(&mut state, &zone(2, &format!("op{number}"), "a", ZoneDirection::In));
    }
    assert_eq!(state.operation_count(), 4096);
    assert!(state.operation(&unit("first")).is_none() && state.operation(&unit("op0")).is_some());
}

/// Guards against a zone that cannot be taken out of service because no worker has registered there yet, against starts
/// on workers that register there later, and against a number of zones without limit.
#[test]
fn a_zone_is_out_before_its_first_worker() {
    let mut state = ready_state();
    operate(&mut state, &zone(3, "early", "c", ZoneDirection::Out));
    state.apply(&register(4, "late", 1, "c", 32));
    assert!(!state.zone(&unit("c")).in_service);
    let worker = state.worker(&unit("late")).unwrap().number();
    state.apply(&submit(5, "job", 1, None));
    let task = state.tasks().find(|task| task.phase() == TaskPhase::Queued).unwrap();
    let (task, attempt, size) = (task.id(), AttemptNumber::new(1), task.declared());
    let start = ControlCommand::StartTask { at: time(6), task, attempt, worker, size };
    assert!(matches!(state.apply(&start).reply, ControlReply::Refused(CommandRefusal::ZoneOut { .. })));
    for number in 0..100 {
        operate(&mut state, &zone(7, &format!("zone{number}"), &format!("zone{number}"), ZoneDirection::Out));
    }
    assert_eq!(state.zones().count(), 64);
}

fn key(text: &str) -> RequestKey {
    RequestKey { service: unit("web"), key: unit(text) }
}

fn claim(state: &mut ControlState, at: u64, text: &str, claim: u64) -> ControlReply {
    let (entry, claim, deadline) = (VmNumber::new(1), ClaimId::new(claim), TimeSpan::from_secs(2));
    state.apply(&ControlCommand::Claim { at: time(at), key: key(text), entry, claim, deadline }).reply
}

fn settle(state: &mut ControlState, text: &str, claim: u64, outcome: ClaimOutcome) -> ControlReply {
    let (at, claim) = (state.now(), ClaimId::new(claim));
    state.apply(&ControlCommand::SettleClaim { at, key: key(text), claim, outcome }).reply
}

fn claim_held(claim: u64, outcome: Option<ClaimOutcome>) -> ControlReply {
    ControlReply::ClaimHeld { entry: VmNumber::new(1), claim: ClaimId::new(claim), outcome }
}

/// Guards against a request that runs twice because two entry daemons claimed its key.
#[rstest]
#[case::done(ClaimOutcome::Done)]
#[case::unknown(ClaimOutcome::Unknown)]
fn a_key_is_granted_once(#[case] outcome: ClaimOutcome) {
    let mut state = ready_state();
    assert_eq!(claim(&mut state, 2, "r", 1), ControlReply::ClaimGranted);
    assert_eq!(claim(&mut state, 2, "r", 1), ControlReply::ClaimGranted);
    assert_eq!(claim(&mut state, 2, "r", 2), claim_held(1, None));
    assert_eq!(settle(&mut state, "r", 1, outcome), ControlReply::Accepted);
    assert_eq!(claim(&mut state, 2, "r", 1), claim_held(1, Some(outcome)));
    assert!(settle(&mut state, "r", 1, ClaimOutcome::NotRun).refusal().is_some());
}

/// Guards against a key that stays claimed after its request did not run, and against a late resend that claims it
/// back.
#[test]
fn a_key_of_a_request_that_did_not_run_can_be_claimed_again() {
    let mut state = ready_state();
    claim(&mut state, 2, "r", 1);
    settle(&mut state, "r", 1, ClaimOutcome::NotRun);
    assert_eq!(claim(&mut state, 2, "r", 1), claim_held(1, Some(ClaimOutcome::NotRun)));
    assert_eq!(claim(&mut state, 2, "r", 2), ControlReply::ClaimGranted);
    assert_eq!(claim(&mut state, 2, "r", 1), claim_held(2, None));
    assert!(settle(&mut state, "r", 1, ClaimOutcome::Done).refusal().is_some());
}

/// Guards against a claim that is removed while a resend may still arrive, and against one that is never removed.
#[test]
fn claims_are_kept_10_minutes_past_the_deadline() {
    let mut state = ready_state();
    claim(&mut state, 2, "r", 1);
    assert_eq!(claim(&mut state, 2 + 601_999, "r", 2), claim_held(1, None));
    assert_eq!(claim(&mut state, 2 + 602_000, "r", 2), ControlReply::ClaimGranted);
}

/// Guards against claims that use memory without limit.
#[test]
fn claims_beyond_the_limit_are_refused() {
    let mut state = ready_state();
    for number in 0..200_000 {
        assert_eq!(claim(&mut state, 2, &number.to_string(), number), ControlReply::ClaimGranted);
    }
    let refused = claim(&mut state, 2, "more", 1);
    assert_eq!(refused, ControlReply::Refused(CommandRefusal::TooManyClaims { limit: 200_000 }));
    assert_eq!(claim(&mut state, 602_002, "more", 1), ControlReply::ClaimGranted);
}
