//! Merges several INI files (layers) into one configuration and records the file and line of each value.

use crate::error::ConfigError;
use ini::{Ini, Properties};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum size of a layer's text, in bytes.
pub const MAX_LAYER_BYTES: usize = 256 * 1024;

/// The allowed sections, each with its allowed keys.
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

/// One INI file. A value in a later layer replaces the value of the same key in an earlier one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layer {
    /// The file's name, as error messages show it.
    pub file: String,
    /// The file's content.
    pub text: String,
}

/// The position in a file that an error message refers to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Location {
    pub(crate) file: String,
    /// The line number, counted from 1; 0 if it is not known.
    pub(crate) line: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) location: Location,
}

#[derive(Debug, Default)]
pub(crate) struct Section {
    /// The section's header line in the first layer that has the section.
    pub(crate) location: Location,
    pub(crate) values: BTreeMap<String, Value>,
}

/// The merged layers, and the errors found while merging them.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    pub(crate) sections: BTreeMap<String, Section>,
    pub(crate) errors: Vec<ConfigError>,
}

/// Merges the layers; a later layer overrides an earlier one key by key.
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
        // Escape sequences are not interpreted, so that backslashes in paths are kept.
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
                self.report(layer, line, name, key, "is set twice".to_string());
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

/// Returns the line number of a section's header, or of an occurrence (counted from 0) of a key in that
/// section; 0 if it is not found. The INI library does not report line numbers.
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
