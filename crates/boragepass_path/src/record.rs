//! Lines of the log as data: one for each decision that touches a request or a belief.

use std::borrow::Cow;

/// Value of a field of a record.
#[derive(Debug, Clone, PartialEq, derive_more::Display, derive_more::From)]
pub enum RecordValue {
    /// Text.
    Text(Cow<'static, str>),
    /// Whole number.
    Number(i64),
}

/// One line of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// What was decided or noticed.
    pub what: &'static str,
    /// Inputs and outcome.
    pub fields: Vec<(&'static str, RecordValue)>,
}

impl Record {
    /// Record without fields.
    pub fn new(what: &'static str) -> Self {
        Self { what, fields: Vec::new() }
    }

    /// Adds a text.
    #[must_use]
    pub fn text(mut self, name: &'static str, value: impl std::fmt::Display) -> Self {
        self.fields.push((name, RecordValue::Text(value.to_string().into())));
        self
    }

    /// Adds a number.
    #[must_use]
    pub fn number(mut self, name: &'static str, value: impl TryInto<i64>) -> Self {
        // A number beyond 63 bits is shown as the largest one.
        self.fields.push((name, RecordValue::Number(value.try_into().unwrap_or(i64::MAX))));
        self
    }
}
