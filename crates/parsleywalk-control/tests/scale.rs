//! Size of commands in the replicated log. The example `projected_size` measures memory and times.

use parsleywalk_control::{ControlCommand, WorkerNumber};
use parsleywalk_units::{AttemptNumber, MemoryBytes, MilliCores, ResourceSize, StateTime, TaskId};
use rstest::rstest;

/// Milliseconds since 1970 in the year 2026, a state time of the size that proposers use.
const NOW_MS: u64 = 1_796_000_000_000;

fn start(task: u64, worker: u32) -> ControlCommand {
    let memory = MemoryBytes::new(3_500_000_000);
    ControlCommand::StartTask {
        at: StateTime::from_millis(NOW_MS),
        task: TaskId::new(task),
        attempt: AttemptNumber::new(1),
        worker: WorkerNumber::new(worker),
        size: ResourceSize::new(MilliCores::new(900), memory),
    }
}

/// Guards the limit of 40 replicated bytes for a task start, also for ids that are reached only after years.
#[rstest]
#[case::today(200_000, 4400)]
#[case::after_years(4_000_000_000, 4_000_000_000)]
fn a_start_takes_at_most_40_bytes(#[case] task: u64, #[case] worker: u32) {
    let command = start(task, worker);
    let bytes = command.encode();
    println!("start of task {task}: {} bytes", bytes.len());
    assert!(bytes.len() <= 40, "{} bytes", bytes.len());
    assert_eq!(ControlCommand::decode(&bytes).unwrap(), command);
}
