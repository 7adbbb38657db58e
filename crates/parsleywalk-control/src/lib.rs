//! The replicated control state: configuration, zones, jobs, tasks, leases and claims.
