//! Merging layers of INI, with the line of each value.

use crate::error::ConfigError;
use ini::{Ini, Properties};
use std::collections::{BTreeMap, BTreeSet};

/// The largest file that is read, in bytes.
pub const MAX_LAYER_BYTES: usize = 256 * 1024;

/// The keys that are allowed, by section.
const KNOWN_KEYS: [(&str, &[&str]); 5] = [
    ("management", &["owner", "store", "restart", "audit"]),
    (
        "netconf",
        &[
            "ssh",
            "host-key",
            "authorized-keys",
            "tls",
            "certificate",
            "key",
            "client-ca",
            "handshakes",
            "handshake-seconds",
            "message-kb",
        ],
    ),
    (
        "gnmi",
        &["listen", "certificate", "key", "client-ca", "subscribers", "message-kb", "least-interval-ms"],
    ),
    (
        "dissemination",
        &[
            "fleet",
            "listen",
            "control",
            "seeds",
            "purge-seconds",
            "bytes-per-second",
            "pulse-ms",
            "trusted-network",
        ],
    ),
    ("control", &["directory", "marks"]),
];

/// One file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layer {
    /// The file's name, for errors.
    pub file: String,
    /// What it holds.
    pub text: String,
}

/// A line of a file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Location {
    pub(crate) file: String,
    /// From 1; 0 where it is not known.
    pub(crate) line: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) location: Location,
}

#[derive(Debug, Default)]
pub(crate) struct Section {
    /// Where its head is first.
    pub(crate) location: Location,
    pub(crate) values: BTreeMap<String, Value>,
}

/// All layers in one.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    pub(crate) sections: BTreeMap<String, Section>,
    pub(crate) errors: Vec<ConfigError>,
}

/// Merges layers in their order.
pub(crate) fn merge(layers: &[Layer]) -> Merged {
    let mut merged = Merged::default();
    for layer in layers {
        merged.add(layer);
    }
    merged
}

impl Merged {
    fn add(&mut self, layer: &Layer) {
        if layer.text.len() > MAX_LAYER_BYTES {
            return self.report(layer, 0, "", "", format!("larger than {MAX_LAYER_BYTES} bytes"));
        }
        // Paths keep their backslashes.
        let ini = match Ini::load_from_str_noescape(&layer.text) {
            Ok(ini) => ini,
            Err(error) => return self.report(layer, error.line, "", "", error.msg.to_string()),
        };
        let mut seen = BTreeSet::new();
        for (name, values) in ini.iter() {
            let name = name.unwrap_or_default();
            match KNOWN_KEYS.iter().find(|(known, _)| *known == name) {
                Some((_, keys)) => self.add_section(layer, name, keys, values, &mut seen),
                None if name.is_empty() && values.is_empty() => {}
                None => {
                    let known: Vec<_> = KNOWN_KEYS.iter().map(|(name, _)| *name).collect();
                    let message = format!("no such section; there are {}", known.join(", "));
                    self.report(layer, line_of(&layer.text, name, None), name, "", message);
                }
            }
        }
    }

    fn add_section(
        &mut self,
        layer: &Layer,
        name: &str,
        known_keys: &[&str],
        values: &Properties,
        seen: &mut BTreeSet<(String, String)>,
    ) {
        let location = Location { file: layer.file.clone(), line: line_of(&layer.text, name, None) };
        let section = || Section { location, values: BTreeMap::new() };
        self.sections.entry(name.to_string()).or_insert_with(section);
        let mut occurrences: BTreeMap<&str, usize> = BTreeMap::new();
        for (key, text) in values.iter() {
            let occurrence = occurrences.entry(key).or_default();
            let line = line_of(&layer.text, name, Some((key, *occurrence)));
            *occurrence += 1;
            if !known_keys.contains(&key) {
                let message = format!("no such key; there are {}", known_keys.join(", "));
                self.report(layer, line, name, key, message);
            } else if !seen.insert((name.to_string(), key.to_string())) {
                self.report(layer, line, name, key, "stands twice".to_string());
            } else {
                let location = Location { file: layer.file.clone(), line };
                let value = Value { text: text.trim().to_string(), location };
                let section = self.sections.entry(name.to_string()).or_default();
                section.values.insert(key.to_string(), value);
            }
        }
    }

    fn report(&mut self, layer: &Layer, line: usize, section: &str, key: &str, message: String) {
        self.errors.push(ConfigError {
            file: layer.file.clone(),
            line,
            section: section.to_string(),
            key: key.to_string(),
            message,
        });
    }
}

/// The line of a section's head, or of the nth occurrence (from 0) of a key in it; the INI library does not
/// tell.
fn line_of(text: &str, section: &str, key: Option<(&str, usize)>) -> usize {
    let mut current_section = "";
    let mut occurrences = 0;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            current_section = name.trim();
            if key.is_none() && current_section == section {
                return index + 1;
            }
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        let Some((_, occurrence)) = key.filter(|(key, _)| current_section == section && *key == name) else {
            continue;
        };
        if occurrences == occurrence {
            return index + 1;
        }
        occurrences += 1;
    }
    0
}
