//! Tests of limits.

use parsleywalk_shares::ResourceLimit;
use parsleywalk_units::{AcceleratorCount, MemoryBytes, MilliCores, ResourceSize};
use proptest::option;
use proptest::prelude::*;
use rstest::rstest;

fn size() -> impl Strategy<Value = ResourceSize> {
    let amounts = (prop_oneof![0..20_u32, any::<u32>()], prop_oneof![0..20_u64, any::<u64>()], 0..20_u16);
    amounts.prop_map(|(cores, memory, accelerators)| {
        ResourceSize::new(MilliCores::new(cores), MemoryBytes::new(memory))
            .with_accelerators(AcceleratorCount::new(accelerators))
    })
}

fn limit() -> impl Strategy<Value = ResourceLimit> {
    (option::of(size()), option::of(size()), option::of(size())).prop_map(|(cores, memory, accelerators)| {
        ResourceLimit {
            cores: cores.map(|size| size.cores),
            memory: memory.map(|size| size.memory),
            accelerators: accelerators.map(|size| size.accelerators),
        }
    })
}

/// Guards against texts that are accepted although a part is missing, or that lose a bound.
#[rstest]
#[case("64c/-/2a", Ok("64c/-/2a"))]
#[case("-/-/-", Ok("-/-/-"))]
#[case("0.500c/1000MB/0a", Ok("0.5c/1GB/0a"))]
#[case("64c/-", Err("<cores>c/<memory>/<accelerators>a"))]
#[case("64/-/-", Err("<cores>c/<memory>/<accelerators>a"))]
#[case("-c/-/-", Err("a number of cores"))]
#[case("-/-/-/-", Err("<cores>c/<memory>/<accelerators>a"))]
fn a_limit_is_parsed_completely_or_refused(#[case] text: &str, #[case] expected: Result<&str, &str>) {
    match (text.parse::<ResourceLimit>(), expected) {
        (Ok(limit), Ok(shown)) => assert_eq!(limit.to_string(), shown),
        (Err(error), Err(reason)) => assert!(error.to_string().contains(reason), "{error}"),
        (parsed, _) => panic!("{text:?} is parsed as {parsed:?}"),
    }
}

proptest! {
    /// Guards against a limit that changes on its way through a text.
    #[test]
    fn the_text_of_a_limit_parses_back(limit in limit()) {
        prop_assert_eq!(limit.to_string().parse::<ResourceLimit>(), Ok(limit));
    }

    /// Guards against counting tasks differently from permitting them one by one, which would exceed a limit or leave a
    /// part of it unused. Sums that overflow are never permitted.
    #[test]
    fn as_many_tasks_are_counted_as_are_permitted(limit in limit(), mut allocated in size(), task in size()) {
        let count = limit.permitted_count(&allocated, &task);
        for number in 0..count.min(30) {
            prop_assert!(limit.permits(&allocated, &task), "task {} of {}", number, count);
            allocated = allocated.checked_add(&task).expect("permitted sizes don't overflow");
        }
        prop_assert_eq!(limit.permits(&allocated, &task), count > 30);
    }
}
