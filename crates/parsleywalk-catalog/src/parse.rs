//! Reads the tree of the text into entries.

use std::ops::RangeInclusive;

use parsleywalk_units::{
    AcceleratorCount, ConfigurationVersion, MemoryBytes, MilliCores, ResourceSize, ServiceName, TaskClass, TimeSpan,
};

use crate::ObjectiveWeights;
use crate::draft::{ServiceDraft, TeamDraft};
use crate::error::ErrorList;
use crate::field_reader::{FieldReader, parse_node};
use crate::node::{NodeValue, TextNode};

/// The largest worker that a size is checked against.
const LARGEST_WORKER: ResourceSize =
    ResourceSize::new(MilliCores::new(1_024_000), MemoryBytes::new(16_000_000_000_000))
        .with_accelerators(AcceleratorCount::new(64));
const DAY: u64 = 86_400_000;
const DEADLINES: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_millis(DAY);
const RUN_TIMES: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_millis(30 * DAY);
const COUNTS: RangeInclusive<u32> = 1..=65_535;
const BATCH_DEADLINE: TimeSpan = TimeSpan::from_secs(30);
const DEFAULT_CONNECTIONS: u32 = 64;
/// The limits of the lists keep the time that checks take in proportion to the text.
const TEAM_LIMIT: usize = 1000;
const SERVICE_LIMIT: usize = 10_000;
const DEPENDENCY_LIMIT: usize = 256;

/// What could be read of a text.
#[derive(Default)]
pub(crate) struct ParsedText<'a> {
    pub(crate) version: Option<ConfigurationVersion>,
    pub(crate) objective: Option<ObjectiveWeights>,
    pub(crate) teams: Vec<TeamDraft>,
    pub(crate) services: Vec<ServiceDraft<'a>>,
    /// Names with their lines, valid or not.
    pub(crate) team_names: Vec<(String, u64)>,
    pub(crate) service_names: Vec<(String, u64)>,
}

pub(crate) fn read_text<'a>(root: &'a TextNode, errors: &mut ErrorList) -> ParsedText<'a> {
    let mut parsed = ParsedText::default();
    let Some(mut reader) = FieldReader::new(root, "", errors) else { return parsed };
    parsed.version = reader.required_number("version", 1..=u64::MAX, errors).map(ConfigurationVersion::new);
    parsed.objective = match reader.value("objective") {
        None => Some(ObjectiveWeights { batch_throughput: 0.5, service_latency: 0.5 }),
        Some(node) => read_objective(node, errors),
    };
    reader.required("teams", errors);
    for (place, node) in reader.list("teams", TEAM_LIMIT, errors).iter().enumerate() {
        parsed.team_names.extend(name_of(node));
        parsed.teams.extend(read_team(node, place, errors));
    }
    reader.required("services", errors);
    for (place, node) in reader.list("services", SERVICE_LIMIT, errors).iter().enumerate() {
        parsed.service_names.extend(name_of(node));
        parsed.services.extend(read_service(node, place, errors));
    }
    reader.finish(errors);
    parsed
}

fn name_of(node: &TextNode) -> Option<(String, u64)> {
    let name = node.child("name")?;
    match &name.value {
        // Bounds and escapes the name, which may be anything as long as it has not been checked.
        NodeValue::Text(text) | NodeValue::Number(text) => {
            Some((text.chars().take(128).collect::<String>().escape_debug().to_string(), name.line))
        }
        _ => None,
    }
}

fn entry_path(list: &str, place: usize, node: &TextNode) -> String {
    name_of(node).map_or_else(|| format!("{list}[{place}]"), |(name, _)| format!("{list}[{name}]"))
}

fn read_objective(node: &TextNode, errors: &mut ErrorList) -> Option<ObjectiveWeights> {
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

fn read_team(node: &TextNode, place: usize, errors: &mut ErrorList) -> Option<TeamDraft> {
    let mut reader = FieldReader::new(node, entry_path("teams", place, node), errors)?;
    let name = reader.parsed("name", errors);
    let weight = reader.required_number("weight", 1..=1000, errors);
    let path = reader.path_of("quota");
    let quota = reader.value("quota").and_then(|quota| read_size(quota, &path, errors));
    reader.finish(errors);
    Some(TeamDraft { name, weight, quota })
}

fn read_size(node: &TextNode, path: &str, errors: &mut ErrorList) -> Option<ResourceSize> {
    let mut reader = FieldReader::new(node, path, errors)?;
    let cores = reader.parsed::<MilliCores>("cores", errors);
    let memory = reader.parsed::<MemoryBytes>("memory", errors);
    let accelerators =
        with_default(&mut reader, "accelerators", 0, |reader, key| reader.number(key, 0..=u16::MAX, errors));
    reader.finish(errors);
    Some(ResourceSize::new(cores?, memory?).with_accelerators(AcceleratorCount::new(accelerators?)))
}

/// Reads the size of a task, which has to be possible on some worker.
fn read_task_size(node: &TextNode, path: &str, errors: &mut ErrorList) -> Option<ResourceSize> {
    let size = read_size(node, path, errors)?;
    let mut possible = true;
    let mut check = |key: &str, value: String, is_zero: bool, is_above: bool, most: String| {
        let message = match (is_zero, is_above) {
            (true, _) => format!("has to be above 0, found {value}"),
            (_, true) => format!("{value} is more than the largest worker has: permitted is up to {most}"),
            _ => return,
        };
        possible = false;
        errors.add(node.line_of(key), format!("{path}.{key}"), message);
    };
    let most = LARGEST_WORKER;
    let (cores, memory, accelerators) = (size.cores, size.memory, size.accelerators);
    check("cores", cores.to_string(), cores.get() == 0, cores > most.cores, most.cores.to_string());
    check("memory", memory.to_string(), memory.get() == 0, memory > most.memory, most.memory.to_string());
    let is_above = accelerators > most.accelerators;
    check("accelerators", accelerators.to_string(), false, is_above, most.accelerators.to_string());
    possible.then_some(size)
}

fn read_service<'a>(node: &'a TextNode, place: usize, errors: &mut ErrorList) -> Option<ServiceDraft<'a>> {
    let path = entry_path("services", place, node);
    let mut reader = FieldReader::new(node, path.as_str(), errors)?;
    let name = reader.parsed("name", errors);
    let class = reader.parsed("class", errors);
    let team = reader.parsed("team", errors);
    let size_path = reader.path_of("size");
    let size = reader.required("size", errors).and_then(|size| read_task_size(size, &size_path, errors));
    let draft = ServiceDraft {
        node,
        path,
        name,
        class,
        team,
        size,
        instances: read_instances(&mut reader, class, errors),
        slots: read_slots(&mut reader, class, errors),
        connections: with_default(&mut reader, "connections", DEFAULT_CONNECTIONS, |reader, key| {
            reader.number(key, COUNTS, errors)
        }),
        repeatable: reader.flag("repeatable", errors),
        deadline: read_deadline(&mut reader, class, errors),
        depends_on: read_depends_on(&mut reader, errors),
        run_time: read_run_time(&mut reader, class, errors),
        urgent: read_urgent(&mut reader, class, errors),
    };
    reader.finish(errors);
    Some(draft)
}

/// Reads an optional field; `None` stands for an error that has been reported.
fn with_default<'a, T>(
    reader: &mut FieldReader<'a>,
    key: &'static str,
    default: T,
    read: impl FnOnce(&mut FieldReader<'a>, &'static str) -> Option<T>,
) -> Option<T> {
    if reader.has(key) {
        return read(reader, key);
    }
    reader.value(key);
    Some(default)
}

fn is_latency_critical(class: Option<TaskClass>) -> bool {
    class == Some(TaskClass::LatencyCritical)
}

fn read_instances(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<u32> {
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

fn read_slots(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<u32> {
    if is_latency_critical(class) {
        return reader.required_number("slots", COUNTS, errors);
    }
    with_default(reader, "slots", 1, |reader, key| reader.number(key, COUNTS, errors))
}

fn read_deadline(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<TimeSpan> {
    if is_latency_critical(class) {
        reader.required("deadline", errors)?;
    }
    with_default(reader, "deadline", BATCH_DEADLINE, |reader, key| reader.ranged(key, DEADLINES, errors))
}

fn read_depends_on(reader: &mut FieldReader, errors: &mut ErrorList) -> Vec<(ServiceName, u64)> {
    let path = reader.path_of("depends_on");
    let mut names: Vec<(ServiceName, u64)> = Vec::new();
    for item in reader.list("depends_on", DEPENDENCY_LIMIT, errors) {
        let Some(name) = parse_node::<ServiceName>(item, &path, errors) else { continue };
        if names.iter().any(|(known, _)| *known == name) {
            errors.add(item.line, path.as_str(), format!("{:?} is named twice", name.as_str()));
        } else {
            names.push((name, item.line));
        }
    }
    names
}

fn read_run_time(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<TimeSpan> {
    let run_time = reader.ranged("run_time", RUN_TIMES, errors)?;
    if is_latency_critical(class) {
        let line = reader.node().line_of("run_time");
        errors.add(line, reader.path_of("run_time"), "permitted for batch services only");
    }
    Some(run_time)
}

fn read_urgent(reader: &mut FieldReader, class: Option<TaskClass>, errors: &mut ErrorList) -> Option<bool> {
    let urgent = reader.flag("urgent", errors)?;
    if urgent && is_latency_critical(class) {
        errors.add(reader.node().line_of("urgent"), reader.path_of("urgent"), "permitted for batch services only");
        return None;
    }
    Some(urgent)
}
