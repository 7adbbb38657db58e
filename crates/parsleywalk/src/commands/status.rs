//! `status`: shows the system as one daemon sees it.

use parsleywalk_api::{ReplicaView, SystemStatus, ZoneView};
use parsleywalk_units::TimeSpan;

use crate::arguments::ConnectionArguments;
use crate::daemon_client::DaemonClient;
use crate::error::Result;
use crate::report::{CommandReport, ExitStatus};
use crate::table::TextTable;

pub(crate) fn run(connection: &ConnectionArguments) -> Result<CommandReport> {
    let status: SystemStatus = DaemonClient::operator(connection)?.query("/v1/status".to_owned())?;
    CommandReport::new(status_text(&status), &status, ExitStatus::Success)
}

fn status_text(status: &SystemStatus) -> String {
    let ready = if status.ready { "ready" } else { "not ready" };
    let tasks = status.tasks;
    let mut summary = TextTable::plain();
    let mut line = |name: &str, value: String| summary.add(&[name.to_owned(), value]);
    line("daemon", format!("vm{} in {}, {}, {ready}", status.vm, status.zone, status.role));
    line("leader", status.leader.map_or_else(|| "not known".to_owned(), |vm| format!("vm{vm}")));
    line(
        "configuration",
        status.configuration.map_or_else(|| "none".to_owned(), |version| format!("version {version}")),
    );
    line("applied", status.applied.to_string());
    line(
        "tasks",
        format!(
            "{} queued, {} starting, {} running, {} stopping",
            tasks.queued, tasks.starting, tasks.running, tasks.stopping
        ),
    );
    line("endpoints", status.endpoints.to_string());
    line("requests", format!("{} in progress", status.requests));
    let mut parts = vec![summary.render()];
    if !status.zones.is_empty() {
        parts.push(zone_table(&status.zones).render());
    }
    if !status.replicas.is_empty() {
        parts.push(replica_table(&status.replicas).render());
    }
    parts.join("\n")
}

fn zone_table(zones: &[ZoneView]) -> TextTable {
    let mut table = TextTable::new(&["ZONE", "STATE", "WORKERS", "TASKS"]);
    for zone in zones {
        let state = if zone.in_service { "in service" } else { "out of service" };
        table.add(&[zone.zone.to_string(), state.to_owned(), zone.workers.to_string(), zone.tasks.to_string()]);
    }
    table
}

fn replica_table(replicas: &[ReplicaView]) -> TextTable {
    let mut table = TextTable::new(&["VM", "ROLE", "HOLDS", "HEARD"]);
    for replica in replicas {
        let heard = format!("{} ago", TimeSpan::from_millis(replica.heard_ms));
        table.add(&[format!("vm{}", replica.vm), replica.role.clone(), replica.held.to_string(), heard]);
    }
    table
}
