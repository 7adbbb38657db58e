//! Settings of a coordinator.

use parsleywalk_control::LeaseSettings;
use parsleywalk_scheduler::PolicySettings;

/// Settings of a [`DaemonCoordinator`](crate::DaemonCoordinator); all daemons need the same.
#[derive(Debug, Clone, Default)]
pub struct CoordinatorSettings {
    /// The leases of workers.
    pub lease: LeaseSettings,
    /// The scheduling policy while this daemon leads.
    pub policy: PolicySettings,
}
