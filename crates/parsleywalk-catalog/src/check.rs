//! Checks that involve several entries of a configuration.

use std::collections::BTreeMap;

use parsleywalk_units::{ServiceName, TaskClass};

use crate::draft::ServiceDraft;
use crate::error::ErrorList;
use crate::graph::DependencyGraph;
use crate::parse::ParsedText;

/// Reports duplicate names, unknown teams and services, tasks that exceed their team's quota, and cycles.
pub(crate) fn check_entries(parsed: &ParsedText, errors: &mut ErrorList) {
    let teams = check_names("teams", &parsed.team_names, errors);
    let services = check_names("services", &parsed.service_names, errors);
    for draft in &parsed.services {
        check_team(draft, parsed, &teams, errors);
        for (name, line) in draft.depends_on.iter().filter(|(name, _)| !services.contains_key(name.as_str())) {
            errors.add(*line, draft.field("depends_on"), format!("unknown service {:?}", name.as_str()));
        }
    }
    check_cycles(&parsed.services, errors);
}

/// Reports duplicate names. Returns each name with its first line.
fn check_names<'a>(list: &str, names: &'a [(String, u64)], errors: &mut ErrorList) -> BTreeMap<&'a str, u64> {
    let mut seen = BTreeMap::new();
    for (name, line) in names {
        if let Some(first) = seen.get(name.as_str()) {
            errors.add(*line, format!("{list}[{name}].name"), format!("name already used in line {first}"));
        } else {
            seen.insert(name.as_str(), *line);
        }
    }
    seen
}

/// Reports an unknown team, and a batch task that can never start because it exceeds its team's quota.
fn check_team(draft: &ServiceDraft, parsed: &ParsedText, teams: &BTreeMap<&str, u64>, errors: &mut ErrorList) {
    let Some(name) = &draft.team else { return };
    if !teams.contains_key(name.as_str()) {
        errors.add(draft.node.line_of("team"), draft.field("team"), format!("unknown team {:?}", name.as_str()));
    }
    let team = parsed.teams.iter().find(|team| team.name.as_ref() == Some(name));
    if let Some(quota) = team.and_then(|team| team.quota)
        && let Some(size) = draft.size
        && draft.class == Some(TaskClass::Batch)
        && !size.fits_within(&quota)
    {
        let message = format!("a task of {size} never fits the quota {quota} of team {name}");
        errors.add(draft.node.line_of("size"), draft.field("size"), message);
    }
}

/// Reports each dependency cycle at its first service.
fn check_cycles(drafts: &[ServiceDraft], errors: &mut ErrorList) {
    let mut services: Vec<(&ServiceName, &ServiceDraft)> =
        drafts.iter().filter_map(|draft| draft.name.as_ref().map(|name| (name, draft))).collect();
    services.sort_by_key(|(name, _)| *name);
    services.dedup_by_key(|(name, _)| *name);
    let graph = DependencyGraph::new(
        &services,
        |(name, _)| name,
        |(_, draft)| draft.depends_on.iter().map(|(name, _)| name).collect(),
    );
    for cycle in graph.order().cycles {
        let mut names: Vec<&str> = cycle.iter().map(|index| services[*index].0.as_str()).collect();
        names.push(names[0]);
        let first = services[cycle[0]].1;
        let message = format!("cycle {}", names.join(" -> "));
        errors.add(first.node.line_of("depends_on"), first.field("depends_on"), message);
    }
}
