//! Reader for JSON objects from callers and operators.
//!
//! A value that is missing or has the wrong type becomes a finding with its path and is replaced by a
//! default, so that one pass reports every problem of a document.

use boragepass_types::{FindingKind, Findings, Location, suggest_key};
use serde_json::{Map, Value};

/// JSON object whose values are taken key by key.
pub struct JsonObject {
    /// JSON path of the object, `$` for the document itself.
    path: String,
    unread_values: Map<String, Value>,
    /// Keys that were asked for, suggested in place of unknown ones.
    known_keys: Vec<&'static str>,
    /// Problems found so far.
    pub findings: Findings,
}

/// Parses a document that must be an object.
pub fn parse_object(bytes: &[u8]) -> Result<JsonObject, Findings> {
    let mut findings = Findings::default();
    match serde_json::from_slice(bytes) {
        Ok(Value::Object(values)) => {
            Ok(JsonObject { path: "$".to_owned(), unread_values: values, known_keys: Vec::new(), findings })
        }
        Ok(_) => {
            let kind = FindingKind::Syntax("must be an object".to_owned());
            findings.push(Location::Json("$".to_owned()), kind, None);
            Err(findings)
        }
        Err(error) => {
            let location = Location::Line { path: "body".to_owned(), line: error.line() };
            findings.push(location, FindingKind::Syntax(error.to_string()), None);
            Err(findings)
        }
    }
}

impl JsonObject {
    fn take_value(&mut self, key: &'static str) -> Option<Value> {
        self.known_keys.push(key);
        self.unread_values.remove(key).filter(|value| !value.is_null())
    }

    fn add_bad_value(&mut self, key: &str, problem: impl ToString) {
        let path = format!("{}.{key}", self.path);
        self.findings.add_bad_value(&path, problem);
    }

    fn add_missing_key(&mut self, key: &str) {
        let location = Location::Json(self.path.clone());
        self.findings.push(location, FindingKind::MissingKey(key.to_owned()), None);
    }

    /// Takes an optional string.
    pub fn optional_text(&mut self, key: &'static str) -> Option<String> {
        match self.take_value(key)? {
            Value::String(text) => Some(text),
            other => {
                self.add_bad_value(key, format!("must be a string, got {}", json_type(&other)));
                None
            }
        }
    }

    /// Takes a required string.
    pub fn text(&mut self, key: &'static str) -> String {
        let is_present = self.unread_values.contains_key(key);
        let text = self.optional_text(key);
        if !is_present {
            self.add_missing_key(key);
        }
        text.unwrap_or_default()
    }

    /// Takes an optional whole number.
    pub fn optional_number(&mut self, key: &'static str) -> Option<u64> {
        let value = self.take_value(key)?;
        let number = value.as_u64();
        if number.is_none() {
            self.add_bad_value(key, format!("must be a whole number from 0 up, got {value}"));
        }
        number
    }

    /// Takes a required whole number that fits `T`.
    pub fn number<T: TryFrom<u64> + Default>(&mut self, key: &'static str) -> T {
        let is_present = self.unread_values.contains_key(key);
        let number = self.optional_number(key);
        if !is_present {
            self.add_missing_key(key);
        }
        let Some(number) = number else {
            return T::default();
        };
        T::try_from(number).unwrap_or_else(|_| {
            self.add_bad_value(key, format!("is too large: {number}"));
            T::default()
        })
    }

    /// Takes an optional boolean; false if it is absent.
    pub fn optional_flag(&mut self, key: &'static str) -> bool {
        match self.take_value(key) {
            None => false,
            Some(Value::Bool(flag)) => flag,
            Some(other) => {
                self.add_bad_value(key, format!("must be true or false, got {}", json_type(&other)));
                false
            }
        }
    }

    /// Takes a required list of strings.
    pub fn text_list(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.take_value(key) else {
            self.add_missing_key(key);
            return Vec::new();
        };
        let Value::Array(items) = value else {
            self.add_bad_value(key, format!("must be a list, got {}", json_type(&value)));
            return Vec::new();
        };
        let mut texts = Vec::new();
        for (index, item) in items.into_iter().enumerate() {
            match item {
                Value::String(text) => texts.push(text),
                other => self
                    .add_bad_value(&format!("{key}[{index}]"), format!("must be a string, got {}", json_type(&other))),
            }
        }
        texts
    }

    /// Returns the findings, with one for each key that was not asked for.
    pub fn finish(mut self) -> Findings {
        for key in self.unread_values.keys() {
            let fix = suggest_key(key, &self.known_keys);
            self.findings.push(
                Location::Json(format!("{}.{key}", self.path)),
                FindingKind::UnknownKey(key.clone()),
                fix,
            );
        }
        self.findings
    }
}

fn json_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
