//! Reads values from the merged layers and records an error for each invalid one.

use crate::error::ConfigError;
use crate::layers::{Location, Merged, Section, Value};
use garde::Validate;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;

/// How error messages describe the expected format of an address.
pub(crate) const ADDRESS: &str = "address with a port";

/// Reads sections and collects all errors, so that an operator sees them at once.
pub(crate) struct Reader {
    sections: BTreeMap<String, Section>,
    errors: Vec<ConfigError>,
}

impl Reader {
    pub(crate) fn new(merged: Merged) -> Reader {
        Reader { sections: merged.sections, errors: merged.errors }
    }

    /// Returns `read`, or all errors, sorted by file and line, if there are any.
    pub(crate) fn finish<T>(mut self, read: T) -> Result<T, Vec<ConfigError>> {
        if self.errors.is_empty() {
            return Ok(read);
        }
        self.errors.sort_by(|left, right| (&left.file, left.line).cmp(&(&right.file, right.line)));
        Err(self.errors)
    }

    pub(crate) fn error_count(&self) -> usize {
        self.errors.len()
    }

    pub(crate) fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Whether the section has the key, even with an empty value.
    pub(crate) fn has_key(&self, section: &str, key: &str) -> bool {
        self.value(section, key).is_some()
    }

    /// The key's value; `None` if the key is absent or its value is empty.
    pub(crate) fn text(&self, section: &str, key: &str) -> Option<String> {
        self.value(section, key).map(|value| value.text.clone()).filter(|text| !text.is_empty())
    }

    pub(crate) fn path(&self, section: &str, key: &str) -> Option<PathBuf> {
        self.text(section, key).map(PathBuf::from)
    }

    /// The items of a comma-separated list, trimmed; empty items are skipped.
    pub(crate) fn items(&self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        text.split(',').map(|item| item.trim().to_string()).filter(|item| !item.is_empty()).collect()
    }

    /// Parses a value. `None` if the key is absent, or if the value is invalid, which is reported;
    /// `type_description` names the expected type in the error message.
    pub(crate) fn parsed<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        type_description: &str,
    ) -> Option<T> {
        let text = self.text(section, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(section, key, format!("{text:?} is no {type_description}"));
        }
        parsed
    }

    pub(crate) fn number(&mut self, section: &str, key: &str, default: u32) -> u32 {
        self.parsed(section, key, "whole number").unwrap_or(default)
    }

    /// Parses a number within the `allowed` range. Returns `default` if the key is absent, or if the value is
    /// invalid, which is reported.
    pub(crate) fn number_in<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &RangeInclusive<T>,
        default: T,
    ) -> T
    where
        T: FromStr + PartialOrd + Display,
    {
        let Some(text) = self.text(section, key) else { return default };
        if let Some(number) = text.parse().ok().filter(|number| allowed.contains(number)) {
            return number;
        }
        let (min, max) = (allowed.start(), allowed.end());
        self.report(section, key, format!("{text:?}: a number from {min} to {max} is allowed"));
        default
    }

    /// Whether the value is `yes`. An absent key means `no`; any value other than `yes` and `no` is reported.
    pub(crate) fn yes_or_no(&mut self, section: &str, key: &str) -> bool {
        match self.text(section, key).as_deref() {
            None | Some("no") => false,
            Some("yes") => true,
            Some(other) => {
                self.report(section, key, format!("{other:?} is neither yes nor no"));
                false
            }
        }
    }

    /// Parses an address whose port is not 0. `None` if it is invalid, which is reported.
    pub(crate) fn parse_address(&mut self, section: &str, key: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok().filter(|address: &SocketAddr| address.port() > 0);
        if address.is_none() {
            self.report(section, key, format!("{text:?} is no {ADDRESS}"));
        }
        address
    }

    /// Reports an error if the key is absent or empty; `why` ends the error message.
    pub(crate) fn require(&mut self, section: &str, key: &str, why: &str) {
        if self.text(section, key).is_none() {
            self.report(section, key, format!("is missing; {why}"));
        }
    }

    /// Checks the ranges and lengths that the `garde` attributes of `T` declare. `None` if a check fails,
    /// which is reported. The field names of `T` are the key names, with `_` for `-`.
    pub(crate) fn validated<T: Validate<Context = ()>>(&mut self, section: &str, read: T) -> Option<T> {
        let Err(report) = read.validate() else { return Some(read) };
        for (path, error) in report.iter() {
            let key = path.to_string().replace('_', "-");
            let text = self.text(section, &key).unwrap_or_default();
            self.report(section, &key, format!("{text:?}: {error}"));
        }
        None
    }

    /// Reports an error at the line of a key, or at its section if the key is absent.
    pub(crate) fn report(&mut self, section: &str, key: &str, message: impl Into<String>) {
        let location = self.value(section, key).map(|value| value.location.clone());
        let location = location.unwrap_or_else(|| self.section_location(section));
        self.push(location, section, key, message.into());
    }

    /// Reports an error that concerns a section as a whole.
    pub(crate) fn report_section(&mut self, section: &str, message: &str) {
        let location = self.section_location(section);
        self.push(location, section, "", message.to_string());
    }

    fn value(&self, section: &str, key: &str) -> Option<&Value> {
        self.sections.get(section)?.values.get(key)
    }

    /// The section's first line with a known key, or its header line if it has none.
    fn section_location(&self, section: &str) -> Location {
        let Some(section) = self.sections.get(section) else { return Location::default() };
        let first = section.values.values().map(|value| &value.location).min_by_key(|location| location.line);
        first.unwrap_or(&section.location).clone()
    }

    fn push(&mut self, location: Location, section: &str, key: &str, message: String) {
        let Location { file, line } = location;
        let (section, key) = (section.to_string(), key.to_string());
        self.errors.push(ConfigError { file, line, section, key, message });
    }
}
