//! Conversion of state changes into events of the scheduling policy.

use parsleywalk_catalog::Catalog;
use parsleywalk_control::{AttemptOutcome, ControlState, StateChange};
use parsleywalk_scheduler::{ObjectiveWeights, PolicyEvent, ServiceSpec, TaskOutcome, TeamQuota};
use parsleywalk_units::TimeSpan;

/// Converts a state change into a policy event; `None` if the policy ignores the change.
pub(crate) fn policy_event(state: &ControlState, change: &StateChange) -> Option<PolicyEvent> {
    Some(match change {
        StateChange::ConfigurationChanged { .. } => configuration_event(&state.configuration()?.catalog),
        StateChange::ZoneChanged { zone, in_service } => {
            PolicyEvent::ZoneChanged { zone: zone.clone(), in_service: *in_service }
        }
        StateChange::WorkerJoined { worker, zone, rack, capacity, .. } => PolicyEvent::WorkerJoined {
            worker: worker.clone(),
            zone: zone.clone(),
            rack: rack.clone(),
            capacity: *capacity,
        },
        StateChange::WorkerLost { worker, .. } => PolicyEvent::WorkerLost { worker: worker.clone() },
        StateChange::TaskQueued { task, attempt, service, team, class, size, urgent, run_time, saved } => {
            PolicyEvent::TaskQueued {
                task: *task,
                attempt: *attempt,
                service: service.clone(),
                team: team.clone(),
                class: *class,
                size: *size,
                urgent: *urgent,
                run_time: run_time.map(TimeSpan::as_duration),
                saved: saved.as_duration(),
            }
        }
        StateChange::TaskPlaced { task, attempt, worker, size } => {
            PolicyEvent::TaskPlaced { task: *task, attempt: *attempt, worker: worker.clone(), size: *size }
        }
        StateChange::TaskRunning { task, attempt } => PolicyEvent::TaskRunning { task: *task, attempt: *attempt },
        StateChange::TaskEnded { task, attempt, outcome, .. } => {
            PolicyEvent::TaskEnded { task: *task, attempt: *attempt, outcome: task_outcome(*outcome) }
        }
        StateChange::TaskStopping { .. } | StateChange::JobEnded { .. } | StateChange::ClaimChanged { .. } => {
            return None;
        }
    })
}

fn configuration_event(catalog: &Catalog) -> PolicyEvent {
    let services = catalog.services.iter().map(|service| ServiceSpec {
        name: service.name.clone(),
        class: service.class,
        instances: service.instances,
        run_time: service.run_time.map(TimeSpan::as_duration),
    });
    let teams =
        catalog.teams.iter().map(|team| TeamQuota { team: team.name.clone(), weight: team.weight, quota: team.quota });
    PolicyEvent::ConfigurationChanged {
        services: services.collect(),
        teams: teams.collect(),
        weights: ObjectiveWeights {
            batch_throughput: catalog.objective.batch_throughput,
            service_latency: catalog.objective.service_latency,
        },
    }
}

fn task_outcome(outcome: AttemptOutcome) -> TaskOutcome {
    match outcome {
        AttemptOutcome::Done => TaskOutcome::Done,
        AttemptOutcome::Failed => TaskOutcome::Failed,
        AttemptOutcome::Cancelled => TaskOutcome::Cancelled,
        AttemptOutcome::Evicted => TaskOutcome::Evicted,
        AttemptOutcome::NotStarted | AttemptOutcome::Lost => TaskOutcome::Lost,
    }
}
