//! Fuzz tests of the decoders of log entries and snapshots: whatever the bytes, they return a value or an error.

mod support;

use parsleywalk_batch::{
    BatchCommand, BatchState, JobId, RunNumber, RunPlacement, TaskKey, decode_commands, encode_commands,
};
use parsleywalk_units::Incarnation;
use proptest::prelude::*;
use support::workspaces::{configure, configure_workspaces, submit, workspace};
use support::{step, submission};

/// A length prefix of 2^63 in the encoding of the log.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 128];

/// Returns the encoding of a submission.
fn encoded_submission() -> Vec<u8> {
    encode_commands(&[BatchCommand::Submit(Box::new(submission(1, 0, vec![step(2, 1, 500)])))])
}

/// Guards against an abort by a length beyond the memory: every length that a damaged entry can hold is replaced by a
/// huge one in turn.
#[test]
fn a_huge_length_is_an_error() {
    for bytes in [encoded_submission(), encode_commands(&owned_jobs())] {
        for offset in 0..bytes.len() {
            let damaged = [&bytes[..offset], &HUGE_LENGTH, &bytes[offset + 1..]].concat();
            drop(decode_commands(&damaged));
            drop(BatchState::decode(&damaged));
        }
    }
}

/// Returns the commands of a deployment with workspaces: two owned jobs with a run each, of which one is removed.
fn owned_jobs() -> Vec<BatchCommand> {
    let place = |job| {
        let task = TaskKey { job: JobId::new(job), occurrence: 0, step: 0, index: 0 };
        let worker = "worker-1".parse().expect("a name");
        let run = RunPlacement { task, run: RunNumber::new(1), worker, incarnation: Incarnation::new(1) };
        BatchCommand::Place { runs: vec![run] }
    };
    vec![
        configure(1),
        configure_workspaces(1, &["alpha", "beta"]),
        submit(1, Some(workspace("alpha"))),
        submit(2, Some(workspace("beta"))),
        place(1),
        place(2),
        BatchCommand::Cancel { job: JobId::new(2) },
        BatchCommand::Forget { jobs: vec![JobId::new(2)] },
    ]
}

fn state_after(commands: &[BatchCommand]) -> BatchState {
    let mut state = BatchState::default();
    for command in commands {
        state.apply(command);
    }
    state
}

/// Guards against a panic by a damaged extension of a snapshot, and against a part of one that is taken for the whole.
#[test]
fn damaged_extensions_are_errors() {
    let bytes = state_after(&owned_jobs()).encode();
    let mut commands = owned_jobs();
    commands.retain(|command| !matches!(command, BatchCommand::ConfigureWorkspaces(_)));
    for command in &mut commands {
        if let BatchCommand::SubmitOwned { submission, .. } = command {
            *command = BatchCommand::Submit(submission.clone());
        }
    }
    let start = state_after(&commands).encode().len();
    for length in start + 1..bytes.len() {
        assert!(BatchState::decode(&bytes[..length]).is_err(), "{length} of {} bytes", bytes.len());
    }
    assert!(BatchState::decode(&[bytes.as_slice(), &[0]].concat()).is_err(), "a trailing byte");
    let lose = |incarnation| BatchCommand::Lose {
        worker: "worker-1".parse().expect("a name"),
        incarnation: Incarnation::new(incarnation),
        saved: Vec::new(),
    };
    let check = |damaged: &[u8]| {
        // What can be read can also be used.
        if let Ok(mut state) = BatchState::decode(damaged) {
            state.apply(&lose(1));
            drop(state.encode());
        }
    };
    for offset in start..bytes.len() {
        check(&[&bytes[..offset], &HUGE_LENGTH, &bytes[offset + 1..]].concat());
        for byte in 0..=u8::MAX {
            let mut damaged = bytes.clone();
            damaged[offset] = byte;
            check(&damaged);
        }
    }
    for version in [0, 2, 251] {
        let mut damaged = bytes.clone();
        damaged[start] = version;
        assert!(BatchState::decode(&damaged).is_err(), "version {version}");
    }
    let restored = BatchState::decode(&bytes).expect("the whole");
    let allocated = |name| restored.workspace_allocation(&workspace(name)).cores.get();
    assert_eq!((allocated("alpha"), allocated("beta")), (2000, 2000));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic or an abort by arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        drop(decode_commands(&bytes));
        drop(BatchState::decode(&bytes));
    }

    /// Guards against a panic or an abort by a damaged or truncated entry.
    #[test]
    fn damaged_entries_do_not_panic(offset in 0_usize..200, byte in any::<u8>(), length in 0_usize..300) {
        let mut bytes = encoded_submission();
        let offset = offset % bytes.len();
        bytes[offset] = byte;
        bytes.truncate(length);
        drop(decode_commands(&bytes));
        drop(BatchState::decode(&bytes));
    }
}
