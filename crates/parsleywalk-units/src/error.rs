//! Errors from parsing units.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use quick_error::quick_error;

/// The result of parsing a unit.
pub type Result<T> = std::result::Result<T, UnitError>;

quick_error! {
    /// The error of a text that is not a valid value of the named unit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The text does not have the documented format of the type.
        Invalid { unit: &'static str, text: String, expected: &'static str } {
            display("invalid {} {:?}: expected {}", unit, text, expected)
        }
        /// The value is well-formed but outside the permitted range.
        OutOfRange { unit: &'static str, text: String, range: &'static str } {
            display("{} {:?} is out of range: permitted is {}", unit, text, range)
        }
    }
}

impl UnitError {
    /// Creates the error of a text that does not have the format of its unit. The text is truncated to 64 characters.
    #[must_use]
    pub fn invalid(unit: &'static str, text: &str, expected: &'static str) -> Self {
        // The text may come from a caller, so the size of the error must be bounded.
        Self::Invalid { unit, text: text.chars().take(64).collect(), expected }
    }

    pub(crate) fn out_of_range(unit: &'static str, text: &str, range: &'static str) -> Self {
        Self::OutOfRange { unit, text: text.chars().take(64).collect(), range }
    }
}
