//! Errors of decoding, and conversions that the wire types share.

use std::str::FromStr;

/// Reason why a message is rejected; the comment of a variant is its message.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum WireError {
    /// the message is empty
    Empty,
    /// protocol version {0} is not supported
    UnknownVersion(u8),
    /// the message cannot be decoded: {0}
    Undecodable(String),
    /// field {field} {problem}
    BadField {
        /// Name of the field.
        field: &'static str,
        /// Rest of the sentence that starts with the field, such as `must not be empty`.
        problem: String,
    },
}

impl std::error::Error for WireError {}

/// Parses the text of field `name`.
pub(crate) fn parse_field<T: FromStr>(name: &'static str, text: &str) -> Result<T, WireError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| WireError::BadField { field: name, problem: error.to_string() })
}

/// Parses each text of the list in field `name`.
pub(crate) fn parse_fields<T: FromStr>(name: &'static str, texts: &[String]) -> Result<Vec<T>, WireError>
where
    T::Err: std::fmt::Display,
{
    texts.iter().map(|text| parse_field(name, text)).collect()
}

/// Formats each item.
pub(crate) fn to_strings<'a, T: ToString + 'a>(items: impl IntoIterator<Item = &'a T>) -> Vec<String> {
    items.into_iter().map(ToString::to_string).collect()
}

/// Converts each item; fails with the first error.
pub(crate) fn try_convert_all<A, B: TryFrom<A, Error = WireError>>(items: Vec<A>) -> Result<Vec<B>, WireError> {
    items.into_iter().map(B::try_from).collect()
}
