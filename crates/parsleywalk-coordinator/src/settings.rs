//! Settings of a coordinator.

use parsleywalk_control::LeaseSettings;
use parsleywalk_scheduler::PolicySettings;

/// The settings of a [`DaemonCoordinator`](crate::DaemonCoordinator), which must be the same for all daemons.
#[derive(Debug, Clone, Default)]
pub struct CoordinatorSettings {
    /// The settings of worker leases.
    pub lease: LeaseSettings,
    /// The settings of the scheduling policy, which runs while this daemon is the leader.
    pub policy: PolicySettings,
}
