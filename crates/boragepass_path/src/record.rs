//! Structured log lines: one for each decision about a request or change of the known state.

use std::borrow::Cow;

/// Value of a field in a log line.
#[derive(Debug, Clone, PartialEq, derive_more::Display, derive_more::From)]
pub enum RecordValue {
    /// Text.
    Text(Cow<'static, str>),
    /// Whole number.
    Number(i64),
}

/// One log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Name of the decision or observation.
    pub what: &'static str,
    /// Names and values of its inputs and outcome.
    pub fields: Vec<(&'static str, RecordValue)>,
}

impl Record {
    /// Creates a record without fields.
    pub fn new(what: &'static str) -> Self {
        Self { what, fields: Vec::new() }
    }

    /// Adds a text field.
    #[must_use]
    pub fn text(mut self, name: &'static str, value: impl std::fmt::Display) -> Self {
        self.fields.push((name, RecordValue::Text(value.to_string().into())));
        self
    }

    /// Adds a number field.
    #[must_use]
    pub fn number(mut self, name: &'static str, value: impl TryInto<i64>) -> Self {
        // A number that does not fit is clamped to the largest one.
        self.fields.push((name, RecordValue::Number(value.try_into().unwrap_or(i64::MAX))));
        self
    }
}
