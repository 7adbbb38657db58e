//! Daemons as the users' platform runs them.

use std::path::PathBuf;

use parsleywalk_platform_soak::{FleetProbe, ProcessFleet, SoakSettings};
use tempfile::TempDir;

use super::wait_until;

/// The number of daemons: 0 to 2 are replicas, 3 to 5 are entries.
pub(crate) const DAEMONS: usize = 6;

/// Starts three replicas and three entries, and applies a configuration.
pub(crate) fn start_platform(folder: &TempDir) -> ProcessFleet {
    let settings =
        SoakSettings { program: PathBuf::from(env!("CARGO_BIN_EXE_parsleywalkd")), ..SoakSettings::default() };
    let mut fleet = ProcessFleet::prepare(&settings, folder.path()).expect("free addresses");
    for index in 0..DAEMONS {
        fleet.start(index).expect("the daemon starts");
    }
    let probe = FleetProbe::new(&fleet);
    wait_until("the configuration", || probe.configure());
    fleet
}
