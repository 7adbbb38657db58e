//! What a daemon shows of its state on request.

use parsleywalk_api::{ConfigurationView, ReplicaView, SystemStatus};
use parsleywalk_units::VmNumber;
use serde_json::{Value, json};

use super::thread::ControlThread;

/// Whether the daemon takes callers.
pub(crate) fn is_ready(thread: &ControlThread) -> bool {
    thread.is_ready()
}

/// The system as this daemon sees it.
pub(crate) fn status(thread: &ControlThread) -> SystemStatus {
    let log = thread.node.status();
    let replicas = log.peers.iter().map(|peer| ReplicaView {
        vm: peer.id.vm,
        role: peer.role.to_string(),
        held: peer.matched.get(),
        heard_ms: peer.silent_ms,
    });
    SystemStatus {
        vm: thread.settings.vm,
        zone: thread.settings.own_address().zone.clone(),
        role: log.role.to_string(),
        leader: log.leader.map(|leader| leader.vm),
        applied: thread.applied.get(),
        ready: thread.is_ready(),
        configuration: thread.state.configuration().map(|configuration| configuration.version),
        zones: thread.state.zone_views(),
        tasks: thread.state.task_counts(),
        endpoints: 0,
        requests: 0,
        replicas: replicas.collect(),
    }
}

/// The configuration in force.
pub(crate) fn configuration(thread: &ControlThread) -> Option<ConfigurationView> {
    thread.state.configuration().map(|configuration| ConfigurationView {
        version: configuration.version,
        digest: configuration.digest.clone(),
        operation: configuration.operation.clone(),
        text: configuration.text.clone(),
    })
}

/// Sizes and positions for the metrics.
pub(crate) fn sizes(thread: &ControlThread) -> Vec<(&'static str, u64)> {
    let tasks = thread.state.task_counts();
    let count = |value: usize| value as u64;
    vec![
        ("applied_index", thread.applied.get()),
        ("revision", thread.state.revision()),
        ("configuration_version", thread.state.version().get()),
        ("workers", count(thread.state.workers().count())),
        ("tasks_queued", tasks.queued.into()),
        ("tasks_starting", tasks.starting.into()),
        ("tasks_running", tasks.running.into()),
        ("tasks_stopping", tasks.stopping.into()),
        ("claims", count(thread.state.claim_count())),
        ("calls_waiting", count(thread.calls.len())),
        ("proposals_open", count(thread.proposals.len())),
        ("is_leader", u64::from(thread.leads(thread.now()))),
        ("peer_messages_dropped", thread.links.network.dropped()),
        ("peer_bytes_sent", thread.links.network.sent_bytes()),
    ]
}

/// Everything that the control thread owns, in a form for reading.
pub(crate) fn control(thread: &ControlThread) -> Value {
    let workers: Vec<Value> = thread
        .state
        .workers()
        .map(|worker| {
            json!({
                "worker": worker.id(),
                "incarnation": worker.incarnation(),
                "zone": worker.zone(),
                "rack": worker.rack(),
                "capacity": worker.capacity(),
                "used": worker.used(),
                "tasks": worker.tasks(),
            })
        })
        .collect();
    let policy = thread.duties.as_ref().map(|duties| json!(duties.policy.status()));
    let known: Vec<VmNumber> = thread.settings.daemons.iter().map(|daemon| daemon.vm).collect();
    json!({
        "status": status(thread),
        "log": thread.node.status(),
        "daemons": known,
        "sizes": sizes(thread).into_iter().map(|(name, value)| (name.to_owned(), json!(value))).collect::<serde_json::Map<_, _>>(),
        "configuration": configuration(thread).map(|view| json!({ "version": view.version, "digest": view.digest, "operation": view.operation })),
        "workers": workers,
        "policy": policy,
    })
}
