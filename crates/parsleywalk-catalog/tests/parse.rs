//! Parsing of configuration texts: accepted ones, and the list of all errors of invalid ones.

use insta::assert_snapshot;
use parsleywalk_catalog::Catalog;
use parsleywalk_units::{ServiceName, TaskClass, TimeSpan};
use rstest::rstest;

const VALID: &str = "\
version: 7
objective: { batch_throughput: 0.7, service_latency: 0.3 }
teams:
  - { name: planning, weight: 2, quota: { cores: 400, memory: 1500GB, accelerators: 4 } }
services:
  - name: marker-planning
    class: latency-critical
    team: planning
    size: { cores: 2.5, memory: 16GB, accelerators: 0 }
    instances: 50
    slots: 8
    connections: 64
    repeatable: false
    deadline: 2s
    depends_on: [terrain-store]
  - name: terrain-store
    class: batch
    team: planning
    size: { cores: 8, memory: 24GB }
    run_time: 30m
    urgent: true
";

fn listing(text: &str) -> String {
    Catalog::parse(text).unwrap_err().to_string()
}

fn name(text: &str) -> ServiceName {
    text.parse().unwrap()
}

/// Guards against a field that is parsed wrongly or loses its default.
#[test]
fn valid_text_is_parsed_in_full() {
    let catalog = Catalog::parse(VALID).unwrap();
    let planning = catalog.service(&name("marker-planning")).unwrap();
    assert_eq!((planning.size.cores.get(), planning.instances, planning.slots), (2500, 50, 8));
    assert_eq!(
        (planning.deadline, planning.depends_on.as_slice()),
        (TimeSpan::from_secs(2), &[name("terrain-store")][..])
    );
    let store = catalog.service(&name("terrain-store")).unwrap();
    assert_eq!((store.instances, store.slots, store.connections, store.urgent), (0, 1, 64, true));
    assert_eq!((store.deadline, store.run_time), (TimeSpan::from_secs(30), Some(TimeSpan::from_secs(1800))));
    let quota = catalog.team(&"planning".parse().unwrap()).unwrap().quota.unwrap();
    assert_eq!(quota.to_string(), "400c/1500GB/4a");
    assert_eq!((catalog.version.get(), catalog.objective.batch_throughput.to_string()), (7, "0.7".to_owned()));
}

/// Guards against a parser that stops at the first error, or at the first error of an entry.
#[test]
fn all_errors_are_listed_at_once() {
    let text = "\
version: 0
objective: { batch_throughput: -1, service_latency: much }
colour: green
teams:
  - { name: planning, weight: 0, quota: { cores: 10, memory: 16 GB } }
  - { name: planning, weight: 1 }
  - { name: 'rescue team' }
services:
  - name: marker-planning
    class: latency-critical
    team: planing
    size: { cores: 0, memory: 16GB, accelerators: 65 }
    instances: 0
    slots: 0
    deadline: 0s
    repeatable: maybe
    depends_on: [terrain, marker-planning]
    urgent: true
  - name: slope-resurvey
    class: batch
    team: planning
    size: { cores: 2000, memory: 17TB }
    instances: 3
    slots: many
    run_time: soon
    run_time: 30m
    slot: 8
  - name: slope-resurvey
    class: nightly
    depends_on: terrain
  - just a text
";
    assert_snapshot!(listing(text));
}

/// Guards against a reported cycle that does not name its services, and against one cycle that hides another.
#[test]
fn each_cycle_is_named() {
    let service = |name: &str, depends_on: &str| {
        format!(
            "  - {{ name: {name}, class: batch, team: planning, size: {{ cores: 1, memory: 1GB }}, depends_on: [{depends_on}] }}\n"
        )
    };
    let text = format!(
        "version: 1\nteams: [{{ name: planning, weight: 1 }}]\nservices:\n{}{}{}{}{}",
        service("maps", "terrain, prices"),
        service("terrain", "weather"),
        service("weather", "maps"),
        service("prices", "prices"),
        service("watch", "maps"),
    );
    assert_snapshot!(listing(&text));
}

/// Guards against a text that is accepted although it is not a configuration, and against a panic.
#[rstest]
#[case::empty("empty", "")]
#[case::list("list", "- version: 1\n")]
#[case::syntax("syntax", "version: 1\nteams: [ {\nservices: }\n")]
#[case::no_entries("no_entries", "version: 1\nteams:\nservices:\n")]
#[case::number_forms("number_forms", "version: 1.5\nteams: [{ name: a, weight: '2' }]\nservices: []\n")]
fn unusable_text_is_refused(#[case] case: &str, #[case] text: &str) {
    assert_snapshot!(case, listing(text));
}

/// Guards against a batch task that can never be placed because it exceeds its team's quota.
#[test]
fn batch_size_has_to_fit_the_quota() {
    let text = VALID
        .replace("accelerators: 4", "accelerators: 0")
        .replace("memory: 24GB }", "memory: 24GB, accelerators: 1 }");
    assert_snapshot!(listing(&text));
}

/// Guards against a text that does not fit into a log entry, and against an unbounded list of errors.
#[test]
fn size_of_text_and_listing_are_bounded() {
    let long = format!("{VALID}# {}\n", "x".repeat(1024 * 1024));
    assert_eq!(listing(&long), format!("line 1: the text has {} bytes: permitted is up to 1048576", long.len()));
    let many = format!("{VALID}{}", "  - { name: a }\n".repeat(200));
    let errors = Catalog::parse(&many).unwrap_err();
    assert_eq!((errors.errors().len(), errors.omitted() > 0), (100, true));
}

/// Guards against a service that starts before its dependencies, and against a stack overflow on a long chain.
#[test]
fn dependencies_start_first() {
    use std::fmt::Write as _;
    let mut text = "version: 1\nteams: [{ name: a, weight: 1 }]\nservices:\n".to_owned();
    for number in 0..5000 {
        let next = if number == 4999 { String::new() } else { format!("s{}", number + 1) };
        writeln!(
            text,
            "- {{ name: s{number}, class: batch, team: a, size: {{ cores: 1, memory: 1GB }}, depends_on: [{next}] }}"
        )
        .unwrap();
    }
    let catalog = Catalog::parse(&text).unwrap();
    let order = catalog.start_order();
    assert_eq!((order.len(), order[0].name.as_str(), order[4999].name.as_str()), (5000, "s4999", "s0"));
}

/// Guards against requests to a dependency of a latency-critical service that wait behind batch work.
#[test]
fn class_follows_dependents() {
    let catalog = Catalog::parse(VALID).unwrap();
    assert_eq!(catalog.service(&name("terrain-store")).unwrap().class, TaskClass::Batch);
    assert_eq!(catalog.effective_class(&name("terrain-store")), Some(TaskClass::LatencyCritical));
    assert_eq!(catalog.effective_class(&name("unknown")), None);
    let independent = Catalog::parse(&VALID.replace("depends_on: [terrain-store]", "depends_on: []")).unwrap();
    assert_eq!(independent.effective_class(&name("terrain-store")), Some(TaskClass::Batch));
}
