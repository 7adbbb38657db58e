//! Tests of releases in the headers of replies.

use http::{HeaderMap, HeaderValue};
use rstest::rstest;

use super::{DaemonRelease, RELEASE_HEADER};

/// Guards against a daemon that is sent what it cannot decode: whatever is not a release counts as the first one.
#[rstest]
#[case(None, 1)]
#[case(Some("1"), 1)]
#[case(Some("2"), 2)]
#[case(Some("3"), 3)]
#[case(Some("0"), 1)]
#[case(Some("-2"), 1)]
#[case(Some("two"), 1)]
#[case(Some("65536"), 1)]
#[case(Some(""), 1)]
fn a_release_that_cannot_be_read_is_the_first(#[case] header: Option<&'static str>, #[case] expected: u16) {
    let mut headers = HeaderMap::new();
    if let Some(header) = header {
        headers.insert(RELEASE_HEADER, HeaderValue::from_static(header));
    }
    assert_eq!(DaemonRelease::from_headers(&headers), DaemonRelease::new(expected));
}

/// Guards against a daemon that does not recognise its own release.
#[test]
fn the_current_release_is_read_from_its_header() {
    let mut headers = HeaderMap::new();
    DaemonRelease::CURRENT.add_to(&mut headers);
    assert_eq!(headers.get(RELEASE_HEADER), Some(&HeaderValue::from_static("2")));
    assert_eq!(DaemonRelease::from_headers(&headers), DaemonRelease::CURRENT);
}
