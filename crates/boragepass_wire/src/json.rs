//! JSON objects from outside, read so that every problem is found at once and with its path.

use boragepass_types::{FindingKind, Findings, Location, suggest_key};
use serde_json::{Map, Value};

/// Object that is being read.
pub struct JsonObject {
    path: String,
    values: Map<String, Value>,
    known: Vec<&'static str>,
    /// Problems found so far.
    pub findings: Findings,
}

/// Parses a document that must be an object.
pub fn parse_object(bytes: &[u8]) -> Result<JsonObject, Findings> {
    let mut findings = Findings::default();
    match serde_json::from_slice(bytes) {
        Ok(Value::Object(values)) => Ok(JsonObject { path: "$".to_owned(), values, known: Vec::new(), findings }),
        Ok(_) => {
            let kind = FindingKind::Syntax("must be an object".to_owned());
            findings.push(Location::Json("$".to_owned()), kind, None);
            Err(findings)
        }
        Err(error) => {
            let place = Location::Line { path: "body".to_owned(), line: error.line() };
            findings.push(place, FindingKind::Syntax(error.to_string()), None);
            Err(findings)
        }
    }
}

impl JsonObject {
    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.values.remove(key).filter(|value| !value.is_null())
    }

    fn bad(&mut self, key: &str, problem: impl ToString) {
        let path = format!("{}.{key}", self.path);
        self.findings.add_bad_value(&path, problem);
    }

    fn missing(&mut self, key: &str) {
        let place = Location::Json(self.path.clone());
        self.findings.push(place, FindingKind::MissingKey(key.to_owned()), None);
    }

    /// Text that may be left out.
    pub fn optional_text(&mut self, key: &'static str) -> Option<String> {
        match self.take(key)? {
            Value::String(text) => Some(text),
            other => {
                self.bad(key, format!("must be a string, got {}", kind_of(&other)));
                None
            }
        }
    }

    /// Text that must be there.
    pub fn text(&mut self, key: &'static str) -> String {
        let is_there = self.values.contains_key(key);
        let text = self.optional_text(key);
        if !is_there {
            self.missing(key);
        }
        text.unwrap_or_default()
    }

    /// Whole number that may be left out.
    pub fn optional_number(&mut self, key: &'static str) -> Option<u64> {
        let value = self.take(key)?;
        let number = value.as_u64();
        if number.is_none() {
            self.bad(key, format!("must be a whole number from 0 up, got {value}"));
        }
        number
    }

    /// Whole number that must be there and fit its type.
    pub fn number<T: TryFrom<u64> + Default>(&mut self, key: &'static str) -> T {
        let is_there = self.values.contains_key(key);
        let number = self.optional_number(key);
        if !is_there {
            self.missing(key);
        }
        let Some(number) = number else {
            return T::default();
        };
        T::try_from(number).unwrap_or_else(|_| {
            self.bad(key, format!("is too large: {number}"));
            T::default()
        })
    }

    /// Flag that may be left out.
    pub fn flag(&mut self, key: &'static str) -> bool {
        match self.take(key) {
            None => false,
            Some(Value::Bool(flag)) => flag,
            Some(other) => {
                self.bad(key, format!("must be true or false, got {}", kind_of(&other)));
                false
            }
        }
    }

    /// List of texts that must be there.
    pub fn texts(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.take(key) else {
            self.missing(key);
            return Vec::new();
        };
        let Value::Array(items) = value else {
            self.bad(key, format!("must be a list, got {}", kind_of(&value)));
            return Vec::new();
        };
        let mut texts = Vec::new();
        for (index, item) in items.into_iter().enumerate() {
            match item {
                Value::String(text) => texts.push(text),
                other => self.bad(&format!("{key}[{index}]"), format!("must be a string, got {}", kind_of(&other))),
            }
        }
        texts
    }

    /// Ends the reading: keys that nobody asked for are problems.
    pub fn finish(mut self) -> Findings {
        for key in self.values.keys() {
            let fix = suggest_key(key, &self.known);
            self.findings.push(
                Location::Json(format!("{}.{key}", self.path)),
                FindingKind::UnknownKey(key.clone()),
                fix,
            );
        }
        self.findings
    }
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a flag",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
