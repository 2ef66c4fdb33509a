//! Told settings as dotted keys with text values, from lines or from nested JSON; and how a value is read.

use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// `key=value`, one a line; other lines are skipped.
    pub fn from_lines(text: &str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Pairs(pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect())
    }

    /// Nested JSON as the lines would have it: a list of plain values is joined by commas, one of objects
    /// gives its length under `.count` and its items under `.0`, `.1` and so on.
    pub fn from_json(value: &Value) -> Self {
        let mut pairs = BTreeMap::new();
        flatten("", value, &mut pairs);
        Pairs(pairs)
    }

    pub fn has(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    pub fn text(&self, key: &str) -> Result<&str, String> {
        self.0.get(key).map(String::as_str).ok_or_else(|| format!("settings: {key} is missing"))
    }

    pub fn parsed<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.text(key)?.parse().map_err(|_| bad(key))
    }

    pub fn ratio(&self, key: &str) -> Result<f64, String> {
        self.parsed::<f64>(key).ok().filter(|value| value.is_finite() && *value >= 0.0).ok_or_else(|| {
            match self.text(key) {
                Err(missing) => missing,
                Ok(_) => bad(key),
            }
        })
    }

    pub fn span(&self, key: &str) -> Result<Duration, String> {
        Ok(Duration::from_micros(self.parsed(key)?))
    }

    pub fn list(&self, key: &str) -> Result<Vec<&str>, String> {
        Ok(self.text(key)?.split(',').filter(|item| !item.is_empty()).collect())
    }

    pub fn item<T: FromStr>(&self, key: &str, place: usize) -> Result<T, String> {
        self.list(key)?.get(place).and_then(|item| item.parse().ok()).ok_or_else(|| bad(key))
    }

    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(key)?;
        let found = words.iter().find(|(word, _)| *word == text);
        found.map(|(_, value)| *value).ok_or_else(|| bad(key))
    }
}

fn bad(key: &str) -> String {
    format!("settings: {key} does not parse")
}

/// Text as it stands in a value: spaces and commas become `_`.
pub fn plain(text: &str) -> String {
    text.replace([' ', ','], "_")
}

fn scalar(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => plain(text),
        other => other.to_string(),
    }
}

fn flatten(path: &str, value: &Value, into: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| flatten(&below(name), value, into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, item)| flatten(&below(&i.to_string()), item, into));
        }
        Value::Array(items) => {
            into.insert(path.to_string(), items.iter().map(scalar).collect::<Vec<_>>().join(","));
        }
        plain => {
            into.insert(path.to_string(), scalar(plain));
        }
    }
}
