//! The sections `[dissemination]` and `[control]`, and the file of marks that a control process reads.

use crate::{ConfigError, Reader};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Control nodes that may be told, seeds, bytes of a name, and lines of a file of marks.
pub const MAX_CONTROL: usize = 16;
pub const MAX_SEEDS: usize = 16;
pub const MAX_NAME: usize = 128;
pub const MAX_MARKS: usize = 4096;
const PURGE_SECONDS: RangeInclusive<f64> = 0.5..=600.0;
const BYTES: RangeInclusive<u32> = 1024..=1_048_576;
const PULSE_MS: RangeInclusive<u32> = 50..=5000;
const PAIRS: &str = "name@address, comma-separated";

/// `[dissemination]`: purges and configuration come from control.
#[derive(Clone, Debug, PartialEq)]
pub struct DisseminationSection {
    /// The same everywhere; frames of another are left alone.
    pub fleet: String,
    pub listen: SocketAddr,
    /// All control processes by name, in the same order everywhere.
    pub control: Vec<(String, SocketAddr)>,
    /// Asked where no control process answers.
    pub seeds: Vec<SocketAddr>,
    /// Within so long a purge is done everywhere.
    pub purge_window: Duration,
    pub bytes_per_second: u32,
    pub heartbeat_interval: Duration,
    /// The network itself keeps strangers out; without it all addresses are of the loopback.
    pub trusted_network: bool,
}

/// `[control]`: what a control process publishes, and to whom.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSection {
    /// The members, as CSV.
    pub directory: PathBuf,
    pub marks: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdministrativeState {
    Draining,
    Gone,
}

impl Reader {
    pub(crate) fn dissemination(&mut self) -> Option<DisseminationSection> {
        let section = "dissemination";
        if !self.stands(section) {
            return None;
        }
        let before = self.faults.len();
        self.need(section, "fleet", "a name that is the same everywhere");
        self.need(section, "listen", "an address with a port");
        self.need(section, "control", PAIRS);
        self.need(section, "purge-seconds", &format!("{} to {}", PURGE_SECONDS.start(), PURGE_SECONDS.end()));
        // All are read before any is missed, so that all faults come at once.
        let (fleet, listen) = (self.name(section, "fleet"), self.address(section, "listen"));
        let part = DisseminationSection {
            fleet: fleet.unwrap_or_default(),
            listen: listen.unwrap_or((Ipv4Addr::LOCALHOST, 0).into()),
            control: self.control_nodes(section),
            seeds: self.seeds(section),
            purge_window: Duration::from_secs_f64(self.within(section, "purge-seconds", PURGE_SECONDS, 10.0)),
            bytes_per_second: self.within(section, "bytes-per-second", BYTES, 6144),
            heartbeat_interval: Duration::from_millis(self.within(section, "pulse-ms", PULSE_MS, 500).into()),
            trusted_network: self.yes(section, "trusted-network"),
        };
        if !part.trusted_network {
            self.loopback(section, &part);
        }
        (self.faults.len() == before).then_some(part)
    }

    pub(crate) fn control(&mut self) -> Option<ControlSection> {
        let section = "control";
        if !self.stands(section) {
            return None;
        }
        if !self.stands("dissemination") {
            self.section_fault(section, "needs a section [dissemination]; `rockflow control` reads both");
        }
        self.need(section, "directory", "a file with a line a member");
        Some(ControlSection {
            directory: self.path(section, "directory")?,
            marks: self.path(section, "marks"),
        })
    }

    fn name(&mut self, section: &str, key: &str) -> Option<String> {
        let text = self.text(section, key)?;
        if text.len() > MAX_NAME || text.contains(char::is_whitespace) {
            self.fault(
                section,
                key,
                format!("{text:?} is no name: 1 to {MAX_NAME} bytes without spaces are allowed"),
            );
            return None;
        }
        Some(text)
    }

    fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text = self.text(section, key)?;
        self.address_in(section, key, &text)
    }

    fn address_in(&mut self, section: &str, key: &str, text: &str) -> Option<SocketAddr> {
        let found = text.parse().ok().filter(|at: &SocketAddr| at.port() > 0);
        if found.is_none() {
            self.fault(section, key, format!("{text:?} is no address with a port"));
        }
        found
    }

    fn items(&self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        text.split(',').map(|item| item.trim().to_string()).filter(|item| !item.is_empty()).collect()
    }

    fn control_nodes(&mut self, section: &str) -> Vec<(String, SocketAddr)> {
        let (key, mut nodes) = ("control", Vec::new());
        for item in self.items(section, key) {
            let Some((name, at)) =
                item.split_once('@').filter(|(name, _)| (1..=MAX_NAME).contains(&name.len()))
            else {
                self.fault(section, key, format!("{item:?} is no name@address"));
                continue;
            };
            nodes.extend(self.address_in(section, key, at).map(|at| (name.to_string(), at)));
        }
        let names: BTreeSet<_> = nodes.iter().map(|(name, _)| name).collect();
        let places: BTreeSet<_> = nodes.iter().map(|(_, at)| at).collect();
        if names.len() < nodes.len() || places.len() < nodes.len() {
            self.fault(section, key, "a name or an address stands twice");
        }
        if nodes.len() > MAX_CONTROL {
            let count = nodes.len();
            self.fault(section, key, format!("{count} are told, where 1 to {MAX_CONTROL} are allowed"));
        }
        nodes
    }

    fn seeds(&mut self, section: &str) -> Vec<SocketAddr> {
        let key = "seeds";
        let items = self.items(section, key);
        if items.len() > MAX_SEEDS {
            let count = items.len();
            self.fault(section, key, format!("{count} are told, where at most {MAX_SEEDS} are allowed"));
        }
        items.iter().filter_map(|item| self.address_in(section, key, item)).collect()
    }

    fn within<T>(&mut self, section: &str, key: &str, allowed: RangeInclusive<T>, otherwise: T) -> T
    where
        T: FromStr + PartialOrd + Display,
    {
        let Some(text) = self.text(section, key) else { return otherwise };
        match text.parse().ok().filter(|value| allowed.contains(value)) {
            Some(value) => value,
            None => {
                let (least, most) = allowed.into_inner();
                self.fault(section, key, format!("{text:?}: a number from {least} to {most} is allowed"));
                otherwise
            }
        }
    }

    fn yes(&mut self, section: &str, key: &str) -> bool {
        match self.text(section, key).as_deref() {
            None | Some("no") => false,
            Some("yes") => true,
            Some(other) => {
                self.fault(section, key, format!("{other:?} is neither yes nor no"));
                false
            }
        }
    }

    fn loopback(&mut self, section: &str, part: &DisseminationSection) {
        let control = part.control.iter().map(|(_, at)| ("control", at));
        let told = std::iter::once(("listen", &part.listen)).chain(control);
        let told = told.chain(part.seeds.iter().map(|at| ("seeds", at)));
        for (key, at) in told.filter(|(_, at)| !at.ip().is_loopback()) {
            let why = "frames carry no sign-in, so whoever reaches that address could purge and drain";
            let what =
                format!("{at} is no address of the loopback, and trusted-network does not say yes: {why}");
            self.fault(section, key, what);
        }
    }
}

/// Reads a file of marks: `HOST = draining|gone` a line, `#` before a comment.
pub fn parse_overrides(
    file: &str,
    text: &str,
) -> Result<BTreeMap<String, AdministrativeState>, Vec<ConfigError>> {
    let (mut marks, mut faults) = (BTreeMap::new(), Vec::new());
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        if let Err(what) = mark(line, &mut marks) {
            let (section, key) = (String::new(), String::new());
            faults.push(ConfigError { file: file.to_string(), line: number + 1, section, key, what });
        }
    }
    if faults.is_empty() {
        Ok(marks)
    } else {
        Err(faults)
    }
}

fn mark(line: &str, marks: &mut BTreeMap<String, AdministrativeState>) -> Result<(), String> {
    let (host, state) = line.split_once('=').ok_or("no line of the form HOST = draining|gone")?;
    let (host, state) = (host.trim(), state.trim());
    if !(1..=MAX_NAME).contains(&host.len()) {
        return Err(format!("{host:?} is no host's name: 1 to {MAX_NAME} bytes are allowed"));
    }
    let state = match state {
        "draining" => AdministrativeState::Draining,
        "gone" => AdministrativeState::Gone,
        other => return Err(format!("{other:?} is neither draining nor gone")),
    };
    if marks.len() >= MAX_MARKS {
        return Err(format!("more than {MAX_MARKS} marks"));
    }
    match marks.insert(host.to_string(), state) {
        Some(_) => Err(format!("{host:?} stands twice")),
        None => Ok(()),
    }
}
