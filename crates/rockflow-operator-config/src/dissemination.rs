//! Reads the sections `[dissemination]` and `[control]`.

use crate::reader::Reader;
use crate::sections::{ControlNode, ControlSection, DisseminationSection};
use crate::MAX_NAME_BYTES;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum number of control nodes in `[dissemination]`.
pub const MAX_CONTROL_NODES: usize = 16;
/// Maximum number of seed addresses in `[dissemination]`.
pub const MAX_SEEDS: usize = 16;

const PURGE_SECONDS: RangeInclusive<f64> = 0.5..=600.0;
/// Used while reading on after `purge-seconds` was found missing or invalid, which is reported as an error.
const PLACEHOLDER_PURGE_SECONDS: f64 = 10.0;
const BYTES_PER_SECOND: RangeInclusive<u32> = 1024..=1_048_576;
const DEFAULT_BYTES_PER_SECOND: u32 = 6144;
const HEARTBEAT_MS: RangeInclusive<u32> = 50..=5000;
const DEFAULT_HEARTBEAT_MS: u32 = 500;

impl Reader {
    pub(crate) fn read_dissemination(&mut self) -> Option<DisseminationSection> {
        let section = "dissemination";
        if !self.has_section(section) {
            return None;
        }
        let errors_before = self.error_count();
        self.require(section, "fleet", "a name that is the same everywhere");
        self.require(section, "listen", "an address with a port");
        self.require(section, "control", "name@address, comma-separated");
        let window = format!("{} to {}", PURGE_SECONDS.start(), PURGE_SECONDS.end());
        self.require(section, "purge-seconds", &window);
        // Reading continues with placeholders for missing or invalid keys, so that all errors are reported at
        // once.
        let read = DisseminationSection {
            fleet: self.read_name(section, "fleet").unwrap_or_default(),
            listen: self.read_address(section, "listen").unwrap_or((Ipv4Addr::LOCALHOST, 0).into()),
            control: self.read_control_nodes(section, "control"),
            seeds: self.read_seeds(section, "seeds"),
            purge_window: Duration::from_secs_f64(self.number_in(
                section,
                "purge-seconds",
                &PURGE_SECONDS,
                PLACEHOLDER_PURGE_SECONDS,
            )),
            bytes_per_second: self.number_in(
                section,
                "bytes-per-second",
                &BYTES_PER_SECOND,
                DEFAULT_BYTES_PER_SECOND,
            ),
            heartbeat_interval: Duration::from_millis(
                self.number_in(section, "pulse-ms", &HEARTBEAT_MS, DEFAULT_HEARTBEAT_MS).into(),
            ),
            trusted_network: self.yes_or_no(section, "trusted-network"),
        };
        if !read.trusted_network {
            self.check_loopback(section, &read);
        }
        (self.error_count() == errors_before).then_some(read)
    }

    pub(crate) fn read_control(&mut self) -> Option<ControlSection> {
        let section = "control";
        if !self.has_section(section) {
            return None;
        }
        if !self.has_section("dissemination") {
            let message = "needs a section [dissemination]; `rockflow control` reads both";
            self.report_section(section, message);
        }
        self.require(section, "directory", "a CSV file with one line per member");
        let directory = self.path(section, "directory")?;
        Some(ControlSection { directory, overrides: self.path(section, "marks") })
    }

    fn read_name(&mut self, section: &str, key: &str) -> Option<String> {
        let text = self.text(section, key)?;
        if text.len() > MAX_NAME_BYTES || text.contains(char::is_whitespace) {
            let allowed = format!("1 to {MAX_NAME_BYTES} bytes without spaces are allowed");
            self.report(section, key, format!("{text:?} is no name: {allowed}"));
            return None;
        }
        Some(text)
    }

    fn read_address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text = self.text(section, key)?;
        self.parse_address(section, key, &text)
    }

    fn read_control_nodes(&mut self, section: &str, key: &str) -> Vec<ControlNode> {
        let items = self.items(section, key);
        let nodes: Vec<_> =
            items.iter().filter_map(|item| self.parse_control_node(section, key, item)).collect();
        let names: BTreeSet<_> = nodes.iter().map(|node| &node.name).collect();
        let addresses: BTreeSet<_> = nodes.iter().map(|node| &node.address).collect();
        if names.len() < nodes.len() || addresses.len() < nodes.len() {
            self.report(section, key, "a name or an address is listed twice");
        }
        if nodes.len() > MAX_CONTROL_NODES {
            let count = nodes.len();
            self.report(section, key, format!("{count} are listed; 1 to {MAX_CONTROL_NODES} are allowed"));
        }
        nodes
    }

    fn parse_control_node(&mut self, section: &str, key: &str, item: &str) -> Option<ControlNode> {
        let parts = item.split_once('@').filter(|(name, _)| (1..=MAX_NAME_BYTES).contains(&name.len()));
        let Some((name, address)) = parts else {
            self.report(section, key, format!("{item:?} is no name@address"));
            return None;
        };
        let address = self.parse_address(section, key, address)?;
        Some(ControlNode { name: name.to_string(), address })
    }

    fn read_seeds(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        let items = self.items(section, key);
        if items.len() > MAX_SEEDS {
            let count = items.len();
            self.report(section, key, format!("{count} are listed; at most {MAX_SEEDS} are allowed"));
        }
        items.iter().filter_map(|item| self.parse_address(section, key, item)).collect()
    }

    /// Reports each address that is reachable from other machines, that is, outside the loopback network.
    fn check_loopback(&mut self, section: &str, read: &DisseminationSection) {
        let control = read.control.iter().map(|node| ("control", node.address));
        let seeds = read.seeds.iter().map(|address| ("seeds", *address));
        let addresses = std::iter::once(("listen", read.listen)).chain(control).chain(seeds);
        for (key, address) in addresses.filter(|(_, address)| !address.ip().is_loopback()) {
            let why = "frames carry no sign-in, so whoever reaches that address could purge and drain";
            let message = format!(
                "{address} is no address of the loopback, and trusted-network does not say yes: {why}"
            );
            self.report(section, key, message);
        }
    }
}
