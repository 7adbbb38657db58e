//! Short seeded runs of real daemons under injected faults.

use std::path::PathBuf;
use std::time::Duration;

use parsleywalk_platform_soak::{SoakSettings, run_soak};
use rstest::rstest;

/// Guards against violations of the platform's documented guarantees while processes are killed, paused and restarted,
/// disks are lost, and links between daemons fail, one after another and at once.
///
/// Seeds that have failed are kept, each with the cause:
/// - 12: while a paused entry delayed the response to a submission, the oracle took the job for refused and its start for a
///   violation.
/// Seed 4 has workspaces.
#[rstest]
#[case(1, false)]
#[case(2, false)]
#[case(12, false)]
#[case(4, true)]
fn promises_hold_under_faults(#[case] seed: u64, #[case] workspaces: bool) {
    let settings = SoakSettings {
        seed,
        workspaces,
        program: PathBuf::from(env!("CARGO_BIN_EXE_parsleywalkd")),
        faults: Duration::from_secs(12),
        ..SoakSettings::default()
    };
    let report = run_soak(&settings).expect("the daemons start");
    assert!(report.violations.is_empty(), "{:#?}\nafter {:#?}", report.violations, report.faults);
    assert!(report.counts.0 > 0, "no job was accepted: {report}");
}
