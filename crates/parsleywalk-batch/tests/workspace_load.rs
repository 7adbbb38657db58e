//! A load test of workspaces.
//!
//! 20 workspaces share 6 workers of 32 cores for two minutes. Three are large (weight 6, 96 cores), the others small
//! (weight 2, 48 cores). Together they submit nine or ten jobs a second, each of 4 tasks on 2 cores for 0.4 s to 1.2 s,
//! which takes a third of the cores. Besides, one small workspace floods the queue with as much work as all workers can do,
//! in jobs of 12 tasks.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use parsleywalk_batch::JobId;
use parsleywalk_units::MonotonicTime;
use rstest::rstest;
use support::workspaces::{share, workspace};
use support::{FakeFleet, step, submission};

const WORKSPACES: u64 = 20;
const LARGE_WORKSPACES: u64 = 3;
/// The workspace that floods the queue.
const FLOODING: u64 = 10;
const LOAD_TIME: Duration = Duration::from_mins(2);
const TICK: Duration = Duration::from_millis(100);

/// Runs the load with a limit of the flooding workspace, or without workspaces. Returns how long the jobs of each workspace
/// but the flooding one wait for their first run on average, the longest first, in seconds, and the most cores that the
/// flooding one has.
fn run(flooding_limit: Option<&'static str>, refuses: bool) -> (Vec<f64>, u32) {
    let mut fleet = if refuses { FakeFleet::new(6, 1) } else { FakeFleet::without_refusals(6, 1) };
    let names: Vec<String> = (0..WORKSPACES).map(|index| format!("workspace-{index:02}")).collect();
    if let Some(flooding_limit) = flooding_limit {
        let mut rows = Vec::new();
        for (index, name) in (0..).zip(&names) {
            rows.push(match index {
                0..LARGE_WORKSPACES => (name.as_str(), 6, "96c/-/-"),
                FLOODING => (name.as_str(), 2, flooding_limit),
                _ => (name.as_str(), 2, "48c/-/-"),
            });
        }
        share(&mut fleet, &rows);
    }
    let mut submitted: BTreeMap<JobId, (u64, MonotonicTime)> = BTreeMap::new();
    let mut waits: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    let (mut id, mut known, mut most) = (0, 0, 0);
    let end = fleet.now + LOAD_TIME;
    while fleet.now < end {
        let mut submit = |fleet: &mut FakeFleet, owner: u64, tasks: u32, milliseconds: u64| {
            id += 1;
            let submission = submission(id, 1, vec![step(tasks, 2, milliseconds)]);
            let name = workspace(&names[usize::try_from(owner).expect("small")]);
            let job = submission.job;
            if flooding_limit.is_none() {
                fleet.submit(submission);
            } else if fleet.offer_owned(submission, &name).is_some() {
                assert!(refuses && owner == FLOODING, "{name} is refused a job");
                return;
            }
            submitted.insert(job, (owner, fleet.now));
        };
        if fleet.rng.chance(95) {
            let owner = fleet.rng.next_below(WORKSPACES);
            let milliseconds = 400 + fleet.rng.next_below(800);
            submit(&mut fleet, owner, 4, milliseconds);
        }
        // 12 tasks on 2 cores for 0.8 s, ten times a second, are 192 cores.
        submit(&mut fleet, FLOODING, 12, 800);
        fleet.run_for(TICK);
        for (task, _) in &fleet.started[known..] {
            if let Some((owner, since)) = submitted.remove(&task.job) {
                waits.entry(owner).or_default().push(fleet.now.since(since).as_secs_f64());
            }
        }
        known = fleet.started.len();
        most = most.max(fleet.state.workspace_allocation(&workspace(&names[10])).cores.get() / 1000);
    }
    // A job that has not started has waited until now.
    for (owner, since) in submitted.into_values() {
        waits.entry(owner).or_default().push(fleet.now.since(since).as_secs_f64());
    }
    waits.remove(&FLOODING);
    #[expect(clippy::cast_precision_loss, reason = "a few thousand jobs")]
    let mut means: Vec<f64> = waits.values().map(|waits| waits.iter().sum::<f64>() / waits.len() as f64).collect();
    means.sort_by(|left, right| right.total_cmp(left));
    (means, most)
}

/// Guards against a workspace that floods the queue and keeps the others waiting: the worst tenth of the others must wait
/// less than half a second, by the limit of the flooding workspace or by the shares alone. Without workspaces, they wait
/// for more than ten times as long. Only the flooding one may be refused jobs.
#[rstest]
#[case::limited("48c/-/-", 48, false)]
#[case::by_shares("-/-/-", 192, false)]
#[case::refused("-/-/-", 192, true)]
fn a_flooding_workspace_keeps_no_other_waiting(#[case] limit: &'static str, #[case] cores: u32, #[case] refuses: bool) {
    let worst_tenth = |means: &[f64]| f64::midpoint(means[0], means[1]);
    let (before, _) = run(None, false);
    let (after, most) = run(Some(limit), refuses);
    println!("waits without workspaces: {before:.2?}\nwaits with workspaces: {after:.2?}, flooding: {most} cores");
    assert!(most <= cores, "the flooding workspace has {most} cores");
    assert!(worst_tenth(&after) < 0.5, "the worst tenth waits for {:.2} s", worst_tenth(&after));
    assert!(worst_tenth(&before) > worst_tenth(&after) * 10.0, "the load does not need workspaces: {before:.2?}");
}
