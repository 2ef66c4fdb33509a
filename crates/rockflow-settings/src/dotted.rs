//! Settings as dotted keys with text values, and how a value is read.

use crate::error::SettingsError;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// Settings by dotted key, as text.
#[derive(Clone, Debug, Default)]
pub struct DottedSettings {
    values: BTreeMap<String, String>,
}

impl DottedSettings {
    /// Reads `key=value`, one a line; other lines are skipped.
    pub fn from_lines(text: &str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        let values = pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect();
        DottedSettings { values }
    }

    /// Reads nested JSON as the lines would have it: a list of plain values is joined by commas, one of objects gives its
    /// length under `.count` and its items under `.0`, `.1` and so on.
    pub fn from_json(value: &Value) -> Self {
        let mut values = BTreeMap::new();
        flatten("", value, &mut values);
        DottedSettings { values }
    }

    /// Whether a key is present.
    pub fn contains(&self, key: &str) -> bool {
        self.values.contains_key(key)
    }

    /// The text of a key.
    ///
    /// # Errors
    /// If the key is missing, as for all other readers.
    pub fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.values.get(key).map(String::as_str).ok_or_else(|| SettingsError::missing(key))
    }

    /// A value of any type that is parsed from text.
    ///
    /// # Errors
    /// If the key is missing or its text does not parse.
    pub fn parse<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.text(key)?.parse().map_err(|_| SettingsError::malformed(key))
    }

    /// A finite number that is not negative.
    ///
    /// # Errors
    /// If the key is missing or its text is no such number.
    pub fn non_negative(&self, key: &str) -> Result<f64, SettingsError> {
        let number: f64 = self.parse(key)?;
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(SettingsError::malformed(key))
        }
    }

    /// A duration, written in whole microseconds.
    ///
    /// # Errors
    /// If the key is missing or its text is no whole number.
    pub fn duration(&self, key: &str) -> Result<Duration, SettingsError> {
        Ok(Duration::from_micros(self.parse(key)?))
    }

    /// The items of a comma-separated list, without empty ones.
    ///
    /// # Errors
    /// If the key is missing.
    pub fn list(&self, key: &str) -> Result<Vec<&str>, SettingsError> {
        Ok(self.text(key)?.split(',').filter(|item| !item.is_empty()).collect())
    }

    /// The item of a list at an index, from 0.
    ///
    /// # Errors
    /// If the key is missing, the list is too short or the item does not parse.
    pub fn list_item<T: FromStr>(&self, key: &str, index: usize) -> Result<T, SettingsError> {
        let items = self.list(key)?;
        let item = items.get(index).and_then(|item| item.parse().ok());
        item.ok_or_else(|| SettingsError::malformed(key))
    }

    /// The value that the text of a key stands for.
    ///
    /// # Errors
    /// If the key is missing or its text is none of the choices.
    pub fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, SettingsError> {
        let text = self.text(key)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        found.map(|(_, value)| *value).ok_or_else(|| SettingsError::malformed(key))
    }
}

/// Text as it stands in a value: spaces and commas become `_`.
pub fn normalize_value(text: &str) -> String {
    text.replace([' ', ','], "_")
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => normalize_value(text),
        other => other.to_string(),
    }
}

fn flatten(path: &str, value: &Value, values: &mut BTreeMap<String, String>) {
    let child = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&child(name), value, values);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(child("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&child(&index.to_string()), item, values);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(scalar_text).collect();
            values.insert(path.to_string(), texts.join(","));
        }
        scalar => {
            values.insert(path.to_string(), scalar_text(scalar));
        }
    }
}
