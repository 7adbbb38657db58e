//! Tests of the time until a job gets its turn.

use std::time::Duration;

use parsleywalk_shares::AccountIndex;
use parsleywalk_units::ResourceSize;
use rstest::rstest;

use super::{AccountTerms, BacklogPlace, BacklogRow, WorkBacklog};
use crate::urgency::JobUrgency;

const ON_TIME: JobUrgency = JobUrgency::OnTime(Duration::from_secs(4));
const LATE: JobUrgency = JobUrgency::Late(Duration::from_secs(1));

/// A job of an account: its priority, urgency, work and what is running of it.
type Row = (u32, u8, JobUrgency, f64, f64);

/// Guards against counting work that comes after a job, or that the limits of other workspaces hold back. 10 cores serve a
/// job of account 0 and priority 1; account 1 has a limit of 2 cores.
#[rstest]
#[case::nothing(&[], ON_TIME, 0.0)]
#[case::earlier(&[(0, 1, ON_TIME, 40.0, 0.0)], ON_TIME, 4.0)]
#[case::later_deadline(&[(0, 1, JobUrgency::OnTime(Duration::from_secs(5)), 40.0, 0.0)], ON_TIME, 0.0)]
#[case::late_is_after(&[(0, 1, LATE, 40.0, 10.0)], ON_TIME, 1.0)]
#[case::late_is_before(&[(0, 1, LATE, 40.0, 10.0)], LATE, 4.0)]
#[case::overdue_is_after(&[(0, 1, JobUrgency::Overdue, 40.0, 0.0)], LATE, 0.0)]
#[case::higher_priority(&[(0, 0, JobUrgency::Overdue, 40.0, 0.0)], ON_TIME, 4.0)]
#[case::lower_priority(&[(0, 2, ON_TIME, 40.0, 0.0)], LATE, 0.0)]
#[case::other_account(&[(0, 1, ON_TIME, 20.0, 0.0), (2, 1, LATE, 10.0, 0.0)], ON_TIME, 3.0)]
#[case::by_share(&[(0, 1, ON_TIME, 20.0, 0.0), (2, 1, LATE, 1000.0, 0.0)], ON_TIME, 4.0)]
#[case::by_limit(&[(0, 1, ON_TIME, 40.0, 0.0), (1, 1, LATE, 1000.0, 0.0)], ON_TIME, 5.0)]
fn only_the_work_ahead_of_a_job_counts(#[case] rows: &[Row], #[case] urgency: JobUrgency, #[case] expected: f64) {
    let terms = ["-/-/-", "2c/-/-", "-/-/-"].map(|limit| AccountTerms {
        weight: 1,
        limit: limit.parse().expect("a limit"),
        held: ResourceSize::default(),
    });
    let rows = rows.iter().map(|&(account, priority, urgency, work, running)| {
        let account = AccountIndex(account);
        BacklogRow { account, priority, urgency, work, running }
    });
    let backlog = WorkBacklog::new(&terms, rows.collect());
    let place = BacklogPlace { account: AccountIndex(0), priority: 1, urgency };
    let seconds = backlog.seconds_before(&place, 10.0);
    assert!((seconds - expected).abs() < 0.1, "{seconds} instead of {expected}");
}
