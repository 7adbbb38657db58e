//! Short seeded runs of real daemons under faults from outside.

use std::path::PathBuf;
use std::time::Duration;

use parsleywalk_platform_soak::{SoakSettings, run_soak};
use rstest::rstest;

/// Guards the promises of the platform's pages where processes are killed, paused and restarted, disks are lost, and links
/// between daemons fail, in series and overlapping. Seeds that ever failed stay, each with its cause:
/// - 12: the oracle took a start for one of a refused job while the answer to its submission was held up by a paused entry.
#[rstest]
fn promises_hold_under_faults(#[values(1, 2, 12)] seed: u64) {
    let settings = SoakSettings {
        seed,
        program: PathBuf::from(env!("CARGO_BIN_EXE_parsleywalkd")),
        faults: Duration::from_secs(12),
        ..SoakSettings::default()
    };
    let report = run_soak(&settings).expect("the daemons start");
    assert!(report.violations.is_empty(), "{:#?}\nafter {:#?}", report.violations, report.faults);
    assert!(report.counts.0 > 0, "no job was accepted: {report}");
}
