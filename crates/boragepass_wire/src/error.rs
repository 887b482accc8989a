//! Problems in messages.

use std::str::FromStr;

/// Reason why a message is not understood.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum WireError {
    /// the message is empty
    Empty,
    /// version {0} of the protocol is not known
    UnknownVersion(u8),
    /// the message cannot be decoded: {0}
    Undecodable(String),
    /// field {field} {problem}
    BadField {
        /// Field.
        field: &'static str,
        /// What it must be.
        problem: String,
    },
}

impl std::error::Error for WireError {}

/// Parses a field.
pub(crate) fn field<T: FromStr>(name: &'static str, text: &str) -> Result<T, WireError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| WireError::BadField { field: name, problem: error.to_string() })
}

/// Parses a list of fields.
pub(crate) fn fields<T: FromStr>(name: &'static str, texts: &[String]) -> Result<Vec<T>, WireError>
where
    T::Err: std::fmt::Display,
{
    texts.iter().map(|text| field(name, text)).collect()
}

/// Texts of a list.
pub(crate) fn texts<'a, T: ToString + 'a>(items: impl IntoIterator<Item = &'a T>) -> Vec<String> {
    items.into_iter().map(ToString::to_string).collect()
}

/// Converts a list, element by element.
pub(crate) fn try_all<A, B: TryFrom<A, Error = WireError>>(items: Vec<A>) -> Result<Vec<B>, WireError> {
    items.into_iter().map(B::try_from).collect()
}
