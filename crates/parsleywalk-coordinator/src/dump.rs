//! What a coordinator shows of its state on request.

use parsleywalk_api::{ConfigurationView, ReplicaView, SystemStatus};
use parsleywalk_units::{MonotonicTime, ZoneName};
use serde_json::{Map, Value, json};

use crate::DaemonCoordinator;

/// Views for operators.
impl DaemonCoordinator {
    /// The system as this daemon sees it. Requests and endpoints are the router's to add.
    #[must_use]
    pub fn system_status(&self, zone: ZoneName) -> SystemStatus {
        let log = self.node.status();
        let replicas = log.peers.iter().map(|peer| ReplicaView {
            vm: peer.id.vm,
            role: peer.role.to_string(),
            held: peer.matched.get(),
            heard_ms: peer.silent_ms,
        });
        SystemStatus {
            vm: self.node.id().vm,
            zone,
            role: log.role.to_string(),
            leader: log.leader.map(|leader| leader.vm),
            applied: self.applied.get(),
            ready: self.is_ready(),
            configuration: self.state.configuration().map(|configuration| configuration.version),
            zones: self.state.zone_views(),
            tasks: self.state.task_counts(),
            endpoints: 0,
            requests: 0,
            replicas: replicas.collect(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration_view(&self) -> Option<ConfigurationView> {
        self.state.configuration().map(|configuration| ConfigurationView {
            version: configuration.version,
            digest: configuration.digest.clone(),
            operation: configuration.operation.clone(),
            text: configuration.text.clone(),
        })
    }

    /// Sizes and positions, by name, for metrics.
    #[must_use]
    pub fn gauges(&self, now: MonotonicTime) -> Vec<(&'static str, u64)> {
        let tasks = self.state.task_counts();
        let count = |value: usize| value as u64;
        vec![
            ("applied_index", self.applied.get()),
            ("revision", self.state.revision()),
            ("configuration_version", self.state.version().get()),
            ("workers", count(self.state.workers().len())),
            ("tasks_queued", tasks.queued.into()),
            ("tasks_starting", tasks.starting.into()),
            ("tasks_running", tasks.running.into()),
            ("tasks_stopping", tasks.stopping.into()),
            ("claims", count(self.state.claim_count())),
            ("calls_waiting", count(self.calls.len())),
            ("proposals_open", count(self.proposals.len())),
            ("is_leader", u64::from(self.leads(now))),
        ]
    }

    /// Everything that the coordinator owns, in a form for reading.
    #[must_use]
    pub fn dump(&self, now: MonotonicTime) -> Value {
        let workers = self.state.workers().map(|worker| {
            json!({
                "worker": worker.id(),
                "incarnation": worker.incarnation(),
                "zone": worker.zone(),
                "rack": worker.rack(),
                "capacity": worker.capacity(),
                "used": worker.used(),
                "tasks": worker.tasks(),
            })
        });
        let gauges = self.gauges(now).into_iter().map(|(name, value)| (name.to_owned(), json!(value)));
        let configuration = self.state.configuration().map(|configuration| {
            json!({
                "version": configuration.version,
                "digest": configuration.digest,
                "operation": configuration.operation,
            })
        });
        json!({
            "log": self.node.status(),
            "sizes": gauges.collect::<Map<_, _>>(),
            "zones": self.state.zone_views(),
            "configuration": configuration,
            "workers": workers.collect::<Vec<_>>(),
            "policy": self.duties.as_ref().map(|duties| json!(duties.policy.status())),
        })
    }
}
