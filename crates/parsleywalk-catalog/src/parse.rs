//! Converts the YAML tree to entries.

use std::ops::RangeInclusive;

use parsleywalk_units::{
    AcceleratorCount, ConfigurationVersion, MemoryBytes, MilliCores, ResourceSize, ServiceName, TaskClass, TimeSpan,
};

use crate::ObjectiveWeights;
use crate::draft::{ServiceDraft, TeamDraft};
use crate::error::ErrorList;
use crate::field_reader::{FieldReader, parse_node};
use crate::node::{NodeValue, TextNode};

/// The largest worker that is supported. A task size beyond it is refused.
const LARGEST_WORKER: ResourceSize =
    ResourceSize::new(MilliCores::new(1_024_000), MemoryBytes::new(16_000_000_000_000))
        .with_accelerators(AcceleratorCount::new(64));
const MILLIS_PER_DAY: u64 = 86_400_000;
const DEADLINE_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_millis(MILLIS_PER_DAY);
const RUN_TIME_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_millis(30 * MILLIS_PER_DAY);
const COUNT_RANGE: RangeInclusive<u32> = 1..=65_535;
/// The deadline of a batch service that states none.
const DEFAULT_BATCH_DEADLINE: TimeSpan = TimeSpan::from_secs(30);
const DEFAULT_CONNECTIONS: u32 = 64;
/// The lists are limited so that the time of the checks stays proportional to the length of the text.
const MAX_TEAMS: usize = 1000;
const MAX_SERVICES: usize = 10_000;
const MAX_DEPENDENCIES: usize = 256;

/// The parts of a text that could be parsed.
#[derive(Default)]
pub(crate) struct ParsedText<'a> {
    pub(crate) version: Option<ConfigurationVersion>,
    pub(crate) objective: Option<ObjectiveWeights>,
    pub(crate) teams: Vec<TeamDraft>,
    pub(crate) services: Vec<ServiceDraft<'a>>,
    /// The names of all teams with their lines, including invalid names.
    pub(crate) team_names: Vec<(String, u64)>,
    /// The names of all services with their lines, including invalid names.
    pub(crate) service_names: Vec<(String, u64)>,
}

/// Parses the root of the tree.
pub(crate) fn parse_root<'a>(root: &'a TextNode, errors: &mut ErrorList) -> ParsedText<'a> {
    let mut parsed = ParsedText::default();
    let Some(mut reader) = FieldReader::new(root, "", errors) else { return parsed };
    parsed.version = reader.required_number("version", 1..=u64::MAX, errors).map(ConfigurationVersion::new);
    parsed.objective = match reader.value("objective") {
        None => Some(ObjectiveWeights { batch_throughput: 0.5, service_latency: 0.5 }),
        Some(node) => parse_objective(node, errors),
    };
    reader.required("teams", errors);
    for (index, node) in reader.list("teams", MAX_TEAMS, errors).iter().enumerate() {
        parsed.team_names.extend(name_of(node));
        parsed.teams.extend(parse_team(node, index, errors));
    }
    reader.required("services", errors);
    for (index, node) in reader.list("services", MAX_SERVICES, errors).iter().enumerate() {
        parsed.service_names.extend(name_of(node));
        parsed.services.extend(parse_service(node, index, errors));
    }
    reader.finish(errors);
    parsed
}

/// Returns the name of an entry and its line, for error messages and the search for duplicates.
fn name_of(node: &TextNode) -> Option<(String, u64)> {
    let name = node.child("name")?;
    match &name.value {
        // The name has not been validated, so it is truncated and escaped.
        NodeValue::Text(text) | NodeValue::Number(text) => {
            Some((text.chars().take(128).collect::<String>().escape_debug().to_string(), name.line))
        }
        _ => None,
    }
}

/// Returns the path of an entry for error messages: its name in the list, or its index if it has none.
fn entry_path(list: &str, index: usize, node: &TextNode) -> String {
    name_of(node).map_or_else(|| format!("{list}[{index}]"), |(name, _)| format!("{list}[{name}]"))
}

fn parse_objective(node: &TextNode, errors: &mut ErrorList) -> Option<ObjectiveWeights> {
    let mut reader = FieldReader::new(node, "objective", errors)?;
    let batch_throughput = reader.required_number("batch_throughput", 0.0..=1000.0, errors);
    let service_latency = reader.required_number("service_latency", 0.0..=1000.0, errors);
    reader.finish(errors);
    let weights = ObjectiveWeights { batch_throughput: batch_throughput?, service_latency: service_latency? };
    if weights.batch_throughput + weights.service_latency > 0.0 {
        return Some(weights);
    }
    errors.add(node.line, "objective", "at least one weight has to be above 0");
    None
}

fn parse_team(node: &TextNode, index: usize, errors: &mut ErrorList) -> Option<TeamDraft> {
    let mut reader = FieldReader::new(node, entry_path("teams", index, node), errors)?;
    let name = reader.parsed("name", errors);
    let weight = reader.required_number("weight", 1..=1000, errors);
    let path = reader.path_of("quota");
    let quota = reader.value("quota").and_then(|quota| parse_size(quota, &path, errors));
    reader.finish(errors);
    Some(TeamDraft { name, weight, quota })
}

fn parse_size(node: &TextNode, path: &str, errors: &mut ErrorList) -> Option<ResourceSize> {
    let mut reader = FieldReader::new(node, path, errors)?;
    let cores = reader.parsed::<MilliCores>("cores", errors);
    let memory = reader.parsed::<MemoryBytes>("memory", errors);
    let accelerators =
        with_default(&mut reader, "accelerators", 0, |reader, key| reader.number(key, 0..=u16::MAX, errors));
    reader.finish(errors);
    Some(ResourceSize::new(cores?, memory?).with_accelerators(AcceleratorCount::new(accelerators?)))
}

/// Parses the size of a task, which has to be above 0 and fit the largest worker.
fn parse_task_size(node: &TextNode, path: &str, errors: &mut ErrorList) -> Option<ResourceSize> {
    let size = parse_size(node, path, errors)?;
    let mut is_valid = true;
    let mut check = |key: &str, value: String, is_zero: bool, is_above: bool, max: String| {
        let message = match (is_zero, is_above) {
            (true, _) => format!("has to be above 0, found {value}"),
            (_, true) => format!("{value} is more than the largest worker has: permitted is up to {max}"),
            _ => return,
        };
        is_valid = false;
        errors.add(node.line_of(key), format!("{path}.{key}"), message);
    };
    let max = LARGEST_WORKER;
    let (cores, memory, accelerators) = (size.cores, size.memory, size.accelerators);
    check("cores", cores.to_string(), cores.get() == 0, cores > max.cores, max.cores.to_string());
    check("memory", memory.to_string(), memory.get() == 0, memory > max.memory, max.memory.to_string());
    let is_above = accelerators > max.accelerators;
    check("accelerators", accelerators.to_string(), false, is_above, max.accelerators.to_string());
    is_valid.then_some(size)
}

fn parse_service<'a>(node: &'a TextNode, index: usize, errors: &mut ErrorList) -> Option<ServiceDraft<'a>> {
    let path = entry_path("services", index, node);
    let mut reader = FieldReader::new(node, path.as_str(), errors)?;
    let name = reader.parsed("name", errors);
    let class = reader.parsed("class", errors);
    let team = reader.parsed("team", errors);
    let size_path = reader.path_of("size");
    let size = reader.required("size", errors).and_then(|size| parse_task_size(size, &size_path, errors));
    let draft = ServiceDraft {
        node,
        path,
        name,
        class,
        team,
        size,
        instances: parse_instances(&mut reader, class, errors),
        slots: parse_slots(&mut reader, class, errors),
        connections: with_default(&mut reader, "connections", DEFAULT_CONNECTIONS, |reader, key| {
            reader.number(key, COUNT_RANGE, errors)
        }),
        repeatable: reader.flag("repeatable", errors),
        deadline: parse_deadline(&mut reader, class, errors),
        depends_on: parse_depends_on(&mut reader, errors),
        run_time: parse_run_time(&mut reader, class, errors),
        urgent: parse_urgent(&mut reader, class, errors),
    };
    reader.finish(errors);
    Some(draft)
}

/// Reads an optional field with a default. Returns `None` if an error has been reported.
fn with_default<'a, T>(
    reader: &mut FieldReader<'a>,
    key: &'static str,
    default: T,
    read: impl FnOnce(&mut FieldReader<'a>, &'static str) -> Option<T>,
) -> Option<T> {
    if reader.has(key) {
        return read(reader, key);
    }
    // Records the key as known.
    reader.value(key);
    Some(default)
}

fn is_latency_critical(class: Option<TaskClass>) -> bool {
    class == Some(TaskClass::LatencyCritical)
}

fn parse_instances(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<u32> {
    if is_latency_critical(class) {
        return reader.required_number("instances", 1..=10_000, errors);
    }
    let instances = with_default(reader, "instances", 0, |reader, key| reader.number(key, 0..=10_000, errors))?;
    if instances > 0 && class.is_some() {
        let message = format!("{instances} instances of a batch service: permitted is 0; its tasks come from jobs");
        errors.add(reader.node().line_of("instances"), reader.path_of("instances"), message);
        return None;
    }
    Some(instances)
}

fn parse_slots(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<u32> {
    if is_latency_critical(class) {
        return reader.required_number("slots", COUNT_RANGE, errors);
    }
    with_default(reader, "slots", 1, |reader, key| reader.number(key, COUNT_RANGE, errors))
}

fn parse_deadline(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<TimeSpan> {
    if is_latency_critical(class) {
        reader.required("deadline", errors)?;
    }
    with_default(reader, "deadline", DEFAULT_BATCH_DEADLINE, |reader, key| reader.ranged(key, DEADLINE_RANGE, errors))
}

fn parse_depends_on(reader: &mut FieldReader, errors: &mut ErrorList) -> Vec<(ServiceName, u64)> {
    let path = reader.path_of("depends_on");
    let mut names: Vec<(ServiceName, u64)> = Vec::new();
    for item in reader.list("depends_on", MAX_DEPENDENCIES, errors) {
        let Some(name) = parse_node::<ServiceName>(item, &path, errors) else { continue };
        if names.iter().any(|(known, _)| *known == name) {
            errors.add(item.line, path.as_str(), format!("{:?} is named twice", name.as_str()));
        } else {
            names.push((name, item.line));
        }
    }
    names
}

fn parse_run_time(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<TimeSpan> {
    let run_time = reader.ranged("run_time", RUN_TIME_RANGE, errors)?;
    if is_latency_critical(class) {
        let line = reader.node().line_of("run_time");
        errors.add(line, reader.path_of("run_time"), "permitted for batch services only");
    }
    Some(run_time)
}

fn parse_urgent(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<bool> {
    let urgent = reader.flag("urgent", errors)?;
    if urgent && is_latency_critical(class) {
        errors.add(reader.node().line_of("urgent"), reader.path_of("urgent"), "permitted for batch services only");
        return None;
    }
    Some(urgent)
}
