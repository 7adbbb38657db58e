//! Errors of a configuration text.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::error::Error;
use std::fmt::{self, Display, Formatter};

use quick_error::quick_error;

/// A result whose error lists all errors of a configuration text.
pub type Result<T> = std::result::Result<T, CatalogErrors>;

/// The most errors that are listed. More of them usually have a common cause.
const MAX_ERRORS: usize = 100;

quick_error! {
    /// One error of a configuration text.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CatalogError {
        /// The text is not YAML or is too long; nothing else was checked.
        Text { line: u64, message: String } {
            display("line {}: {}", line, message)
        }
        /// A field is missing, unknown, of the wrong type or outside its permitted range.
        Field { line: u64, field: String, message: String } {
            display("line {}: {}: {}", line, field, message)
        }
    }
}

impl CatalogError {
    /// Returns the line of the text, counted from 1.
    #[must_use]
    pub const fn line(&self) -> u64 {
        match self {
            Self::Text { line, .. } | Self::Field { line, .. } => *line,
        }
    }
}

/// All errors of a configuration text, sorted by line. They are displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogErrors {
    errors: Vec<CatalogError>,
    omitted: usize,
}

impl CatalogErrors {
    pub(crate) fn new(mut errors: Vec<CatalogError>) -> Self {
        errors.sort_by_key(CatalogError::line);
        let omitted = errors.len().saturating_sub(MAX_ERRORS);
        errors.truncate(MAX_ERRORS);
        Self { errors, omitted }
    }

    /// Returns the errors sorted by line, at most the first 100.
    #[must_use]
    pub fn errors(&self) -> &[CatalogError] {
        &self.errors
    }

    /// Returns the number of errors beyond the first 100.
    #[must_use]
    pub const fn omitted(&self) -> usize {
        self.omitted
    }
}

impl Display for CatalogErrors {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            Display::fmt(error, formatter)?;
        }
        if self.omitted > 0 {
            write!(formatter, "\nand {} more errors", self.omitted)?;
        }
        Ok(())
    }
}

impl Error for CatalogErrors {}

/// Collects errors while a text is parsed.
#[derive(Debug, Default)]
pub(crate) struct ErrorList(Vec<CatalogError>);

impl ErrorList {
    pub(crate) fn add(&mut self, line: u64, field: impl Into<String>, message: impl Into<String>) {
        self.0.push(CatalogError::Field { line, field: field.into(), message: message.into() });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn into_errors(self) -> CatalogErrors {
        CatalogErrors::new(self.0)
    }
}
