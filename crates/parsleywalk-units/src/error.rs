//! Errors of parsing units.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use quick_error::quick_error;

/// The result of parsing a unit.
pub type Result<T> = std::result::Result<T, UnitError>;

quick_error! {
    /// A text that is not a valid value of the named unit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The text does not match the format that the type documents.
        Invalid { unit: &'static str, text: String, expected: &'static str } {
            display("invalid {} {:?}: expected {}", unit, text, expected)
        }
        /// The value is well formed and outside the permitted range.
        OutOfRange { unit: &'static str, text: String, range: &'static str } {
            display("{} {:?} is out of range: permitted is {}", unit, text, range)
        }
    }
}

impl UnitError {
    /// An error of a text that does not match the format of its unit. The text is cut to 64 characters.
    #[must_use]
    pub fn invalid(unit: &'static str, text: &str, expected: &'static str) -> Self {
        // Bounds the error's size, since the text may come from a caller.
        Self::Invalid { unit, text: text.chars().take(64).collect(), expected }
    }

    pub(crate) fn out_of_range(unit: &'static str, text: &str, range: &'static str) -> Self {
        Self::OutOfRange { unit, text: text.chars().take(64).collect(), range }
    }
}
