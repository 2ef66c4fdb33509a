//! The target: the size of the fleet and the allowed costs, parsed strictly from a TOML file.

use crate::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use toml::{Table, Value};

/// What a key may hold: its least and its most, whether whole numbers only, and its unit.
#[derive(Clone, Copy, Debug)]
struct Allowed {
    key: &'static str,
    least: f64,
    most: f64,
    whole: bool,
    unit: &'static str,
}

const fn whole(key: &'static str, least: u64, most: u64, unit: &'static str) -> Allowed {
    Allowed { key, least: least as f64, most: most as f64, whole: true, unit }
}

const fn number(key: &'static str, least: f64, most: f64, unit: &'static str) -> Allowed {
    Allowed { key, least, most, whole: false, unit }
}

/// Every key of a target file; all of them are asked for. A member's place in the fleet is two bytes long.
const KEYS: [Allowed; 24] = [
    whole("fleet.dispatchers", 1, 65_535, "dispatchers"),
    whole("fleet.sites", 1, 65_535, "sites"),
    whole("fleet.cache_hosts", 1, 1_000_000, "hosts"),
    whole("fleet.regions", 1, 65_535, "regions"),
    whole("fleet.zones", 1, 65_535, "zones"),
    number("load.requests_per_second", 0.0, 1e12, "requests a second"),
    number("load.traffic_tbit_per_second", 0.0, 1e6, "Tbit a second"),
    whole("load.objects", 0, 1_000_000_000_000_000, "objects"),
    number("load.purges_per_second", 0.0, 1e6, "purges a second"),
    number("load.purge_done_seconds", 0.001, 86_400.0, "seconds"),
    number("load.changes_per_day", 0.0, 1e9, "changes a day"),
    number("load.change_in_force_seconds", 0.001, 86_400.0, "seconds"),
    number("allowed.core_share", 1e-6, 1.0, "of a core"),
    number("allowed.memory_mb", 1.0, 1e6, "MB of 1,048,576 bytes"),
    number("allowed.kb_per_second", 0.001, 1e9, "KB of 1,024 bytes a second"),
    whole("allowed.control_machines", 1, 10_000, "machines"),
    number("faults.machines_failed_per_day", 0.0, 1e6, "machines a day"),
    number("faults.machines_replaced_per_day", 0.0, 1e6, "machines a day"),
    number("faults.restart_wave_minutes", 1.0, 1440.0, "minutes"),
    number("faults.rack_lost_every_days", 0.1, 1e5, "days"),
    number("faults.zone_lost_every_days", 0.1, 1e5, "days"),
    number("faults.region_apart_seconds", 0.0, 1e7, "seconds"),
    number("network.round_trip_near_ms", 0.01, 10_000.0, "milliseconds"),
    number("network.round_trip_far_ms", 0.01, 10_000.0, "milliseconds"),
];

impl Allowed {
    fn words(&self) -> String {
        let kind = if self.whole { "a whole number" } else { "a number" };
        format!("{kind} from {} to {}, in {}", self.least, self.most, self.unit)
    }
}

/// A target, every figure under the last part of its key.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    figures: BTreeMap<String, f64>,
}

impl Target {
    /// Reads a target file. A fault names the file, the key and what is allowed.
    pub fn read(path: &Path) -> Result<Target, Fault> {
        let text = std::fs::read_to_string(path).map_err(|what| format!("{}: {what}", path.display()))?;
        Target::parse(&text).map_err(|what| Fault(format!("{}: {what}", path.display())))
    }

    /// Reads a target from its text.
    pub fn parse(text: &str) -> Result<Target, Fault> {
        let table: Table =
            text.parse().map_err(|what: toml::de::Error| what.to_string().trim().to_string())?;
        let known: BTreeSet<_> = KEYS.iter().map(|allowed| allowed.key).collect();
        for (section, held) in &table {
            let names: Vec<_> = match held {
                Value::Table(held) => held.keys().map(|name| format!("{section}.{name}")).collect(),
                _ => vec![section.clone()],
            };
            if let Some(other) = names.iter().find(|name| !known.contains(name.as_str())) {
                let list: Vec<_> = known.iter().copied().collect();
                return Err(Fault(format!("{other} is no key; allowed are {}", list.join(", "))));
            }
        }
        let mut figures = BTreeMap::new();
        for allowed in &KEYS {
            let (section, name) = allowed.key.split_once('.').expect("a section and a name");
            let held = table.get(section).and_then(|section| section.get(name));
            let figure = match held {
                None => return Err(Fault(format!("{} is missing: {}", allowed.key, allowed.words()))),
                Some(Value::Integer(figure)) => Some(*figure as f64),
                Some(Value::Float(figure)) if !allowed.whole => Some(*figure),
                Some(_) => None,
            };
            let within = figure.filter(|figure| (allowed.least..=allowed.most).contains(figure));
            let Some(figure) = within else {
                let held = held.map(Value::to_string).unwrap_or_default();
                return Err(Fault(format!("{} = {held}: allowed is {}", allowed.key, allowed.words())));
            };
            figures.insert(name.to_string(), figure);
        }
        Ok(Target { figures })
    }

    /// A figure by the last part of its key; none: there is no such key.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.get(name).copied()
    }

    /// All figures, by the last part of their keys.
    pub fn figures(&self) -> impl Iterator<Item = (&str, f64)> {
        self.figures.iter().map(|(name, figure)| (name.as_str(), *figure))
    }

    /// Dispatchers in all.
    pub fn dispatchers(&self) -> usize {
        self.figures["dispatchers"] as usize
    }

    /// Cache hosts in all.
    pub fn cache_hosts(&self) -> usize {
        self.figures["cache_hosts"] as usize
    }
}
