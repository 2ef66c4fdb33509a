//! Reading values of the merged layers, with an error for each that is not allowed.

use crate::error::ConfigError;
use crate::layers::{Location, Merged, Section, Value};
use garde::Validate;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;

pub(crate) const ADDRESS: &str = "address with a port";

/// Reads sections, and gathers the errors in them.
pub(crate) struct Reader {
    sections: BTreeMap<String, Section>,
    errors: Vec<ConfigError>,
}

impl Reader {
    pub(crate) fn new(merged: Merged) -> Reader {
        Reader { sections: merged.sections, errors: merged.errors }
    }

    /// What was read, or all errors by file and line.
    pub(crate) fn finish<T>(mut self, read: T) -> Result<T, Vec<ConfigError>> {
        if self.errors.is_empty() {
            return Ok(read);
        }
        self.errors.sort_by(|one, other| (&one.file, one.line).cmp(&(&other.file, other.line)));
        Err(self.errors)
    }

    pub(crate) fn error_count(&self) -> usize {
        self.errors.len()
    }

    pub(crate) fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Whether the key is there, even without a value.
    pub(crate) fn has_key(&self, section: &str, key: &str) -> bool {
        self.value(section, key).is_some()
    }

    /// The key's value; none where it is absent or empty.
    pub(crate) fn text(&self, section: &str, key: &str) -> Option<String> {
        self.value(section, key).map(|value| value.text.clone()).filter(|text| !text.is_empty())
    }

    pub(crate) fn path(&self, section: &str, key: &str) -> Option<PathBuf> {
        self.text(section, key).map(PathBuf::from)
    }

    /// The items of a list with commas.
    pub(crate) fn items(&self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        text.split(',').map(|item| item.trim().to_string()).filter(|item| !item.is_empty()).collect()
    }

    /// A value of the type that `what` describes.
    pub(crate) fn parsed<T: FromStr>(&mut self, section: &str, key: &str, what: &str) -> Option<T> {
        let text = self.text(section, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(section, key, format!("{text:?} is no {what}"));
        }
        parsed
    }

    pub(crate) fn number(&mut self, section: &str, key: &str, default: u32) -> u32 {
        self.parsed(section, key, "whole number").unwrap_or(default)
    }

    /// A number of the range.
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

    /// `yes` or `no`; `no` where the key is absent.
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

    /// An address whose port is not 0.
    pub(crate) fn parse_address(&mut self, section: &str, key: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok().filter(|address: &SocketAddr| address.port() > 0);
        if address.is_none() {
            self.report(section, key, format!("{text:?} is no {ADDRESS}"));
        }
        address
    }

    /// Reports a key that is absent or empty.
    pub(crate) fn require(&mut self, section: &str, key: &str, why: &str) {
        if self.text(section, key).is_none() {
            self.report(section, key, format!("is missing; {why}"));
        }
    }

    /// Checks ranges and lengths as the type demands; the names of its fields are those of the keys.
    pub(crate) fn validated<T: Validate<Context = ()>>(&mut self, section: &str, read: T) -> Option<T> {
        let Err(report) = read.validate() else { return Some(read) };
        for (path, error) in report.iter() {
            let key = path.to_string().replace('_', "-");
            let text = self.text(section, &key).unwrap_or_default();
            self.report(section, &key, format!("{text:?}: {error}"));
        }
        None
    }

    /// Reports an error at a key, or in its section where the key is absent.
    pub(crate) fn report(&mut self, section: &str, key: &str, message: impl Into<String>) {
        let location = self.value(section, key).map(|value| value.location.clone());
        let location = location.unwrap_or_else(|| self.section_location(section));
        self.push(location, section, key, message.into());
    }

    /// Reports an error of a whole section.
    pub(crate) fn report_section(&mut self, section: &str, message: &str) {
        let location = self.section_location(section);
        self.push(location, section, "", message.to_string());
    }

    fn value(&self, section: &str, key: &str) -> Option<&Value> {
        self.sections.get(section)?.values.get(key)
    }

    /// The first line with a key of the section, or its head where it has none.
    fn section_location(&self, section: &str) -> Location {
        let Some(section) = self.sections.get(section) else { return Location::default() };
        let first = section.values.values().map(|value| &value.location).min_by_key(|at| at.line);
        first.unwrap_or(&section.location).clone()
    }

    fn push(&mut self, location: Location, section: &str, key: &str, message: String) {
        let Location { file, line } = location;
        let (section, key) = (section.to_string(), key.to_string());
        self.errors.push(ConfigError { file, line, section, key, message });
    }
}
