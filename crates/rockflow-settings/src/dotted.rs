//! Settings as dotted keys with text values, and the readers for values of other types.

use crate::error::SettingsError;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// The text values of settings by dotted key.
#[derive(Clone, Debug, Default)]
pub struct DottedSettings {
    values: BTreeMap<String, String>,
}

impl DottedSettings {
    /// Reads one `key=value` per line. Lines without `=` are skipped.
    pub fn from_lines(text: &str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        let values = pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect();
        DottedSettings { values }
    }

    /// Reads nested JSON into the keys and values that the dotted lines have. The items of a list of plain values are
    /// joined by commas. A list of objects has its length in the key `.count` and its items in the keys `.0`, `.1` and
    /// so on.
    pub fn from_json(value: &Value) -> Self {
        let mut values = BTreeMap::new();
        flatten("", value, &mut values);
        DottedSettings { values }
    }

    /// Whether a key is present.
    pub fn contains(&self, key: &str) -> bool {
        self.values.contains_key(key)
    }

    /// The value of a key as text.
    ///
    /// # Errors
    /// If the key is missing. All other readers fail then, too.
    pub fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.values.get(key).map(String::as_str).ok_or_else(|| SettingsError::missing(key))
    }

    /// The value of a key, parsed as a type.
    ///
    /// # Errors
    /// If the key is missing or its text does not parse.
    pub fn parse<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.text(key)?.parse().map_err(|_| SettingsError::malformed(key))
    }

    /// The value of a key as a finite number that is not negative.
    ///
    /// # Errors
    /// If the key is missing or its value is not such a number.
    pub fn non_negative(&self, key: &str) -> Result<f64, SettingsError> {
        let number: f64 = self.parse(key)?;
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(SettingsError::malformed(key))
        }
    }

    /// The value of a key, in whole microseconds, as a duration.
    ///
    /// # Errors
    /// If the key is missing or its value is not a whole number.
    pub fn duration(&self, key: &str) -> Result<Duration, SettingsError> {
        Ok(Duration::from_micros(self.parse(key)?))
    }

    /// The items of a comma-separated list. Empty items are left out.
    ///
    /// # Errors
    /// If the key is missing.
    pub fn list(&self, key: &str) -> Result<Vec<&str>, SettingsError> {
        Ok(self.text(key)?.split(',').filter(|item| !item.is_empty()).collect())
    }

    /// The item of a comma-separated list at an index, which counts from 0.
    ///
    /// # Errors
    /// If the key is missing, the list is too short or the item does not parse.
    pub fn list_item<T: FromStr>(&self, key: &str, index: usize) -> Result<T, SettingsError> {
        let items = self.list(key)?;
        let item = items.get(index).and_then(|item| item.parse().ok());
        item.ok_or_else(|| SettingsError::malformed(key))
    }

    /// The value that `choices` has for the text of a key.
    ///
    /// # Errors
    /// If the key is missing or its text is not among the choices.
    pub fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, SettingsError> {
        let text = self.text(key)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        found.map(|(_, value)| *value).ok_or_else(|| SettingsError::malformed(key))
    }
}

/// Replaces spaces and commas by `_`, as in all text values read from JSON. Commas separate the items of a list.
pub fn normalize_value(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// The text of a JSON value that is neither an object nor a list; empty for null.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => normalize_value(text),
        other => other.to_string(),
    }
}

/// Adds a JSON value and all values in it to `values`, with keys below `path`.
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
