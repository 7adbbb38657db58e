//! Parsing and display of the units.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use parsleywalk_units::{
    IdempotencyKey, JobKey, MemoryBytes, MilliCores, RequestKey, ResourceSize, TaskClass, TimeSpan, VmNumber, ZoneName,
};
use rstest::rstest;

fn round_trip<T: FromStr + Display>(text: &str)
where
    T::Err: Debug,
{
    assert_eq!(text.parse::<T>().expect(text).to_string(), text);
}

/// Guards against displayed values, as in dumps and messages, that do not parse back to the same text.
#[test]
fn displayed_values_parse_back() {
    ["0", "4", "2.5", "0.001", "4294967.295"].into_iter().for_each(round_trip::<MilliCores>);
    ["0B", "1B", "512MB", "16GB", "1500MB", "3TB"].into_iter().for_each(round_trip::<MemoryBytes>);
    ["0ms", "250ms", "90s", "30m", "36h", "2d"].into_iter().for_each(round_trip::<TimeSpan>);
    ["2.5c/16GB/0a", "0c/0B/0a", "32c/125GB/4a"].into_iter().for_each(round_trip::<ResourceSize>);
    round_trip::<JobKey>("planning/slope-7");
    round_trip::<RequestKey>("quotes/order:8");
    round_trip::<TaskClass>("latency-critical");
    round_trip::<ZoneName>("sierra-a");
    round_trip::<VmNumber>("7");
}

/// Guards against names that are not valid as a segment of a URL path, or that break the fields of a log line.
#[rstest]
#[case::empty("")]
#[case::current_folder(".")]
#[case::parent_folder("..")]
#[case::separator("a/b")]
#[case::space("a b")]
#[case::not_ascii("mägi")]
fn bad_names_are_refused(#[case] text: &str) {
    assert!(text.parse::<IdempotencyKey>().is_err());
}

/// Guards against values that overflow, and against texts that the number parsers of the standard library would accept.
#[test]
fn bad_sizes_are_refused() {
    for text in ["", ".", "+1", "1.", "1.2345", "4294968", "-1"] {
        assert!(text.parse::<MilliCores>().is_err(), "{text}");
    }
    for text in ["", "GB", "+1GB", "1.5GB", "99999999999TB", "1kb"] {
        assert!(text.parse::<MemoryBytes>().is_err(), "{text}");
    }
    for text in ["", "s", "1", "1.5s", "1 s", "999999999999999999d"] {
        assert!(text.parse::<TimeSpan>().is_err(), "{text}");
    }
}
