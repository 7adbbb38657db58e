//! Tests of the time after which a refused caller is asked to return.

use std::time::Duration;

use parsleywalk_shares::AccountIndex;
use rstest::rstest;

use super::{EndForecast, GateRequest};
use crate::JobId;
use crate::work_kind::WorkKind;

/// Guards against refusing jobs that can be in time or that end soon after, and against callers that return at once, never,
/// or together.
#[rstest]
#[case::in_time(3.9, 100.0, None)]
#[case::soon_after(4.1, 7.9, None)]
#[case::soon_drained(4.1, 8.1, Some((4.1, 6.15)))]
#[case::long_backlog(50.0, 500.0, Some((20.0, 30.0)))]
#[case::endless(f64::INFINITY, f64::INFINITY, Some((20.0, 30.0)))]
fn refused_callers_return_once_the_backlog_has_drained(
    #[case] as_urgent: f64,
    #[case] as_late: f64,
    #[case] expected: Option<(f64, f64)>,
) {
    let service = "service".parse().expect("a name");
    let forecast = EndForecast { as_urgent, as_late, drain: 10.0 };
    let returns = (1..=1000).map(|job| {
        let request = GateRequest {
            job: JobId::new(job),
            service: &service,
            kind: WorkKind::BestEffort,
            account: AccountIndex(0),
            priority: 2,
            is_over_rate: false,
            path: Duration::from_secs(1),
            objective: Duration::from_secs(4),
            work: 10.0,
        };
        forecast.refusal(&request, 2.0).map(|wait| wait.as_secs_f64())
    });
    let returns: Vec<Option<f64>> = returns.collect();
    let Some((first, last)) = expected else { return assert!(returns.iter().all(Option::is_none)) };
    // A tenth of the callers returns in each tenth of the time.
    let mut tenths = [0; 10];
    for wait in returns {
        let position = (wait.expect("a refusal") - first) / (last - first) * 10.0;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a position")]
        let tenth = (position + 1e-9) as usize;
        tenths[tenth] += 1;
    }
    assert!(tenths.iter().all(|callers| (90..=110).contains(callers)), "{tenths:?}");
}
