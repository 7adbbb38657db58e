//! Checks of the configurations under `examples/`.

use std::fs;
use std::path::Path;

use parsleywalk_catalog::Catalog;
use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize, TaskClass};
use rstest::rstest;

/// Guards against an example that no longer parses, differs from its user's stated numbers, or declares more services
/// than the workers of two of three zones can run: 33 of 50 workers with 32 cores and 125 GB.
#[rstest]
#[case("senderos", "marker-planning", 0.7)]
#[case("vihmavari", "booking-repair", 0.3)]
fn example_is_valid_and_fits(#[case] folder: &str, #[case] main_service: &str, #[case] batch_weight: f64) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(folder).join("catalog.yaml");
    let catalog = Catalog::parse(&fs::read_to_string(path).unwrap()).unwrap_or_else(|errors| panic!("{errors}"));
    let service = catalog.service(&main_service.parse().unwrap()).unwrap();
    assert_eq!((service.instances, service.slots, service.connections), (50, 8, 64));
    assert!((catalog.objective.batch_throughput - batch_weight).abs() < f64::EPSILON);
    assert!(catalog.services.iter().any(|service| service.class == TaskClass::Batch && service.urgent));
    let worker = ResourceSize::new(MilliCores::new(32_000), MemoryBytes::new(125_000_000_000));
    let mut allocated = ResourceSize::default();
    for service in catalog.services.iter().filter(|service| service.class == TaskClass::LatencyCritical) {
        assert!(service.size.fits_within(&worker), "{}", service.name);
        for _ in 0..service.instances {
            allocated = allocated.checked_add(&service.size).unwrap();
        }
    }
    assert!(
        allocated.cores.get() <= 33 * worker.cores.get() && allocated.memory.get() <= 33 * worker.memory.get(),
        "{allocated}"
    );
}
