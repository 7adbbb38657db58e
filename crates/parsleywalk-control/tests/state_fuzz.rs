//! Random commands, applied to the control state and to the oracle.
//!
//! Guards against a command that is wrongly accepted or refused, and against records, totals, changes and snapshots
//! that disagree. The seed is fixed; `FUZZ_SEED` and `FUZZ_CASES` set another seed and number of cases.

mod common;

use std::collections::BTreeMap;

use common::commands::command;
use common::oracle::{Oracle, is_live};
use parsleywalk_api::TaskPhase;
use parsleywalk_control::{ControlCommand, ControlReply, ControlState, StateChange, WorkerNumber};
use parsleywalk_units::{AttemptNumber, OperationId, TaskId, WorkerId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Oracle;
    type Transition = ControlCommand;

    fn init_state() -> BoxedStrategy<Oracle> {
        // Most cases start with a configuration and workers, so that few commands go into creating them.
        let prepared = {
            let mut oracle = Oracle::default();
            for command in preparation() {
                oracle.apply(&command);
            }
            oracle
        };
        prop_oneof![9 => Just(prepared), 1 => Just(Oracle::default())].boxed()
    }

    fn transitions(oracle: &Oracle) -> BoxedStrategy<ControlCommand> {
        command(oracle)
    }

    fn apply(mut oracle: Oracle, command: &ControlCommand) -> Oracle {
        oracle.apply(command);
        oracle
    }
}

fn preparation() -> Vec<ControlCommand> {
    vec![
        common::configure(1, "first", common::fuzz_catalog(1, 9, 2, 1)),
        common::register(1, "w0", 1, "a", 6),
        common::register(1, "w1", 1, "b", 6),
        common::submit(1, "first", 3, None),
    ]
}

/// The state under test, with an index maintained from its changes and the answers to operations so far.
struct TestedState {
    state: ControlState,
    index: BTreeMap<TaskId, ObservedTask>,
    answers: BTreeMap<OperationId, (ControlCommand, ControlReply)>,
}

#[derive(Debug, Clone, PartialEq)]
struct ObservedTask {
    attempt: AttemptNumber,
    phase: TaskPhase,
    worker: Option<WorkerId>,
}

impl TestedState {
    fn apply(&mut self, command: &ControlCommand) -> ControlReply {
        let command = ControlCommand::decode(&command.encode()).unwrap();
        let before = self.state.clone();
        let applied = self.state.apply(&command);
        if applied.reply.refusal().is_some() {
            assert!(applied.changes.is_empty(), "a refused command changed the state: {applied:?}");
        }
        for change in &applied.changes {
            observe(&mut self.index, change);
        }
        self.check_replay(&command, &applied.reply, &before);
        applied.reply
    }

    /// Checks that a resent operation gets the stored answer and changes nothing.
    fn check_replay(&mut self, command: &ControlCommand, reply: &ControlReply, before: &ControlState) {
        let (ControlCommand::ApplyConfiguration { operation, .. } | ControlCommand::SetZone { operation, .. }) =
            command
        else {
            return;
        };
        let Some((first, answer)) = self.answers.get(operation) else {
            self.answers.insert(operation.clone(), (command.clone(), reply.clone()));
            return;
        };
        if contents(first) == contents(command) {
            assert_eq!(reply, answer, "a resend got another answer");
        }
        assert_eq!(before.version(), self.state.version());
        assert!(before.zones().eq(self.state.zones()) && before.tasks().eq(self.state.tasks()));
    }
}

fn contents(command: &ControlCommand) -> String {
    match command {
        ControlCommand::SetZone { zone, direction, .. } => format!("{zone} {direction}"),
        ControlCommand::ApplyConfiguration { text, .. } => text.clone(),
        _ => String::new(),
    }
}

fn observe(index: &mut BTreeMap<TaskId, ObservedTask>, change: &StateChange) {
    match change {
        StateChange::TaskQueued { task, attempt, .. } => {
            index.insert(*task, ObservedTask { attempt: *attempt, phase: TaskPhase::Queued, worker: None });
        }
        StateChange::TaskPlaced { task, attempt, worker, .. } => {
            let observed = index.get_mut(task).expect("a placed task was queued");
            assert_eq!((observed.attempt, observed.phase), (*attempt, TaskPhase::Queued));
            (observed.phase, observed.worker) = (TaskPhase::Starting, Some(worker.clone()));
        }
        StateChange::TaskRunning { task, attempt } => advance(index, *task, *attempt, TaskPhase::Running),
        StateChange::TaskStopping { task, attempt } => advance(index, *task, *attempt, TaskPhase::Stopping),
        StateChange::TaskEnded { task, attempt, .. } => {
            let observed = index.remove(task).expect("an ended task was queued");
            assert_eq!(observed.attempt, *attempt);
        }
        _ => {}
    }
}

fn advance(index: &mut BTreeMap<TaskId, ObservedTask>, task: TaskId, attempt: AttemptNumber, phase: TaskPhase) {
    let observed = index.get_mut(&task).expect("a placed task was queued");
    assert_eq!(observed.attempt, attempt);
    observed.phase = phase;
}

struct StateFuzz;

impl StateMachineTest for StateFuzz {
    type SystemUnderTest = TestedState;
    type Reference = Reference;

    fn init_test(oracle: &Oracle) -> TestedState {
        let mut tested = TestedState { state: ControlState::new(), index: BTreeMap::new(), answers: BTreeMap::new() };
        if oracle.revision > 0 {
            for command in preparation() {
                tested.apply(&command);
            }
        }
        tested
    }

    fn apply(mut tested: TestedState, oracle: &Oracle, command: ControlCommand) -> TestedState {
        let reply = tested.apply(&command);
        assert_eq!(reply.refusal().is_none(), oracle.accepted, "{command:?} got the reply {reply:?}");
        tested
    }

    fn check_invariants(tested: &TestedState, oracle: &Oracle) {
        let state = &tested.state;
        state.check_invariants().unwrap();
        compare_tasks(tested, oracle);
        for (number, worker) in &oracle.workers {
            let record = state.worker(&worker.id).unwrap();
            assert_eq!((record.number().get(), record.used()), (*number, oracle.used(*number)));
        }
        assert_eq!(state.workers().count(), oracle.workers.len());
        for (zone, in_service) in &oracle.zones {
            assert_eq!(state.zone(zone).in_service, *in_service);
        }
        for key in oracle.jobs.keys() {
            assert_eq!(state.job(key).unwrap().phase(), oracle.job_phase(key));
        }
        for (key, (claim, outcome)) in &oracle.claims {
            let record = state.claim(key).unwrap();
            assert_eq!((record.claim, record.outcome), (*claim, *outcome));
        }
        assert_eq!((state.version().get(), state.revision()), (oracle.version, oracle.revision));
        if state.revision().is_multiple_of(8) {
            compare_snapshot(tested);
        }
    }
}

fn compare_tasks(tested: &TestedState, oracle: &Oracle) {
    let live: Vec<_> = oracle.tasks.iter().filter(|(_, task)| is_live(task.phase)).collect();
    assert_eq!(tested.state.tasks().count(), live.len());
    assert_eq!(tested.index.len(), live.len());
    for (id, task) in live {
        let record = tested.state.task(TaskId::new(*id)).unwrap();
        assert_eq!(
            (record.attempt().get(), record.phase(), record.size(), record.entered(), record.checkpoint()),
            (task.attempt, task.phase, task.size, task.entered, task.checkpoint.as_deref()),
            "task {id}"
        );
        assert_eq!(record.worker().map(WorkerNumber::get), task.worker);
        assert_eq!(tested.state.successor(record.id()).map(TaskId::get), task.successor);
        assert_eq!(tested.index[&TaskId::new(*id)].phase, task.phase);
    }
}

fn compare_snapshot(tested: &TestedState) {
    let decoded = ControlState::decode(&tested.state.encode()).unwrap();
    assert!(decoded == tested.state, "a snapshot differs from its state");
    let mut index = BTreeMap::new();
    decoded.replay_changes().for_each(|change| observe(&mut index, &change));
    assert_eq!(index, tested.index);
}

fn env_number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().map_or(default, |text| text.parse().expect("a number"))
}

fn config() -> Config {
    Config {
        cases: u32::try_from(env_number("FUZZ_CASES", 96)).unwrap(),
        rng_seed: RngSeed::Fixed(env_number("FUZZ_SEED", 7)),
        failure_persistence: None,
        max_shrink_iters: 4096,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn random_commands_match_the_oracle(sequential 40..160 => StateFuzz);
}
