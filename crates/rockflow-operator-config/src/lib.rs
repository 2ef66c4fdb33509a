//! The operator's own file, `deploy/rockflow.ini`: INI, in layers of which a later one holds over an earlier one
//! key by key, every fault with its file, line, section and key, and what is allowed there. A section that is
//! absent is a part that does not exist.

mod dissemination;

pub use dissemination::{parse_overrides, AdministrativeState, ControlSection, DisseminationSection};

use garde::Validate;
use ini::Ini;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// The largest file that is read, in bytes.
pub const MAX_BYTES: usize = 256 * 1024;

#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    pub file: String,
    /// From 1; 0 where there is none.
    pub line: usize,
    pub section: String,
    pub key: String,
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)
    }
}

/// `[management]`: what all fronts share. With any front it must stand.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ManagementSection {
    /// The user who passes by every access rule.
    #[garde(length(min = 1, max = 128), ascii)]
    pub owner: String,
    /// The folder in which commits last; none: as long as the process.
    #[garde(skip)]
    pub store: Option<PathBuf>,
    /// A restart begins with the startup configuration in place of the last commit.
    #[garde(skip)]
    pub separate_startup: bool,
    /// One line of JSON a commit is appended here, beside the log.
    #[garde(skip)]
    pub audit: Option<PathBuf>,
}

/// A listener with TLS, where clients prove themselves by certificates.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSection {
    pub listen: SocketAddr,
    pub certificate: PathBuf,
    pub key: PathBuf,
    pub client_ca: PathBuf,
}

/// `[netconf]`.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct NetconfSection {
    #[garde(skip)]
    pub ssh: Option<SocketAddr>,
    #[garde(skip)]
    pub host_key: Option<PathBuf>,
    /// A folder with one file a user, of that name, in the form of authorized_keys.
    #[garde(skip)]
    pub authorized_keys: Option<PathBuf>,
    #[garde(skip)]
    pub tls: Option<TlsSection>,
    /// Connections that have not proved who they are.
    #[garde(range(min = 1, max = 1000))]
    pub handshakes: u32,
    /// Time for that, in seconds.
    #[garde(range(min = 1, max = 300))]
    pub handshake_seconds: u32,
    /// The largest message, in kilobytes.
    #[garde(range(min = 16, max = 16384))]
    pub message_kb: u32,
}

/// `[gnmi]`.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct GnmiSection {
    #[garde(skip)]
    pub tls: TlsSection,
    #[garde(range(min = 1, max = 1000))]
    pub subscribers: u32,
    #[garde(range(min = 16, max = 16384))]
    pub message_kb: u32,
    /// The shortest interval of a sample, in milliseconds.
    #[garde(range(min = 10, max = 60000))]
    pub least_interval_ms: u32,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub management: Option<ManagementSection>,
    pub netconf: Option<NetconfSection>,
    pub gnmi: Option<GnmiSection>,
    pub dissemination: Option<DisseminationSection>,
    pub control: Option<ControlSection>,
}

/// The keys that may stand, by section.
const KNOWN: [(&str, &[&str]); 5] = [
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

#[derive(Clone, Debug)]
struct Value {
    text: String,
    file: String,
    line: usize,
}

#[derive(Debug, Default)]
struct Section {
    /// Where it first stands.
    file: String,
    line: usize,
    values: BTreeMap<String, Value>,
}

type Sections = BTreeMap<String, Section>;

/// Reads layers, given by file name and text, in their order.
pub fn parse(layers: &[(String, String)]) -> Result<OperatorConfig, Vec<ConfigError>> {
    let (mut all, mut faults) = (Sections::new(), Vec::new());
    for (file, text) in layers {
        layer(file, text, &mut all, &mut faults);
    }
    let mut reader = Reader { all, faults };
    let file = OperatorConfig {
        management: reader.management(),
        netconf: reader.netconf(),
        gnmi: reader.gnmi(),
        dissemination: reader.dissemination(),
        control: reader.control(),
    };
    if (file.netconf.is_some() || file.gnmi.is_some()) && !reader.all.contains_key("management") {
        let section = if file.netconf.is_some() { "netconf" } else { "gnmi" };
        reader.section_fault(section, "needs a section [management] with an owner");
    }
    if reader.faults.is_empty() {
        Ok(file)
    } else {
        reader.faults.sort_by(|one, other| (&one.file, one.line).cmp(&(&other.file, other.line)));
        Err(reader.faults)
    }
}

fn layer(file: &str, text: &str, all: &mut Sections, faults: &mut Vec<ConfigError>) {
    let fault = |line: usize, section: &str, key: &str, what: String| ConfigError {
        file: file.to_string(),
        line,
        section: section.to_string(),
        key: key.to_string(),
        what,
    };
    if text.len() > MAX_BYTES {
        return faults.push(fault(0, "", "", format!("larger than {MAX_BYTES} bytes")));
    }
    // Paths keep their backslashes.
    let read = match Ini::load_from_str_noescape(text) {
        Ok(read) => read,
        Err(what) => return faults.push(fault(what.line, "", "", what.msg.to_string())),
    };
    let mut seen = BTreeSet::new();
    for (section, values) in read.iter() {
        let name = section.unwrap_or_default();
        let Some((_, keys)) = KNOWN.iter().find(|(known, _)| *known == name) else {
            let known: Vec<_> = KNOWN.iter().map(|(name, _)| *name).collect();
            let what = format!("no such section; there are {}", known.join(", "));
            if !name.is_empty() || !values.is_empty() {
                faults.push(fault(line_of(text, name, None, 0), name, "", what));
            }
            continue;
        };
        let head = || Section {
            file: file.to_string(),
            line: line_of(text, name, None, 0),
            values: BTreeMap::new(),
        };
        let held = &mut all.entry(name.to_string()).or_insert_with(head).values;
        let mut times: BTreeMap<&str, usize> = BTreeMap::new();
        for (key, value) in values.iter() {
            let nth = times.entry(key).or_default();
            let line = line_of(text, name, Some(key), *nth);
            *nth += 1;
            if !keys.contains(&key) {
                faults.push(fault(line, name, key, format!("no such key; there are {}", keys.join(", "))));
            } else if !seen.insert((name.to_string(), key.to_string())) {
                faults.push(fault(line, name, key, "stands twice".to_string()));
            } else {
                let value = Value { text: value.trim().to_string(), file: file.to_string(), line };
                held.insert(key.to_string(), value);
            }
        }
    }
}

/// Where the nth such key of a section stands, or the section itself; the library does not tell.
fn line_of(text: &str, section: &str, key: Option<&str>, nth: usize) -> usize {
    let (mut at, mut left) = (String::new(), nth);
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            at = name.trim().to_string();
            if key.is_none() && at == section {
                return number + 1;
            }
        } else if at == section {
            let name = line.split(['=', ':']).next().unwrap_or_default().trim();
            if Some(name) == key {
                if left == 0 {
                    return number + 1;
                }
                left -= 1;
            }
        }
    }
    0
}

struct Reader {
    all: Sections,
    faults: Vec<ConfigError>,
}

impl Reader {
    fn value(&self, section: &str, key: &str) -> Option<&Value> {
        self.all.get(section)?.values.get(key)
    }

    fn fault(&mut self, section: &str, key: &str, what: impl Into<String>) {
        let at = self.value(section, key).map(|value| (value.file.clone(), value.line));
        let (file, line) = at.unwrap_or_else(|| self.somewhere(section));
        let (section, key) = (section.to_string(), key.to_string());
        self.faults.push(ConfigError { file, line, section, key, what: what.into() });
    }

    fn section_fault(&mut self, section: &str, what: &str) {
        let (file, line) = self.somewhere(section);
        let (section, key) = (section.to_string(), String::new());
        self.faults.push(ConfigError { file, line, section, key, what: what.to_string() });
    }

    fn stands(&self, section: &str) -> bool {
        self.all.contains_key(section)
    }

    /// The first line that a section has, for what is missing in it; its head where it has none.
    fn somewhere(&self, section: &str) -> (String, usize) {
        let Some(found) = self.all.get(section) else { return (String::new(), 0) };
        let first = found.values.values().min_by_key(|value| value.line);
        first.map_or((found.file.clone(), found.line), |value| (value.file.clone(), value.line))
    }

    fn text(&self, section: &str, key: &str) -> Option<String> {
        self.value(section, key).map(|value| value.text.clone()).filter(|text| !text.is_empty())
    }

    fn path(&self, section: &str, key: &str) -> Option<PathBuf> {
        self.text(section, key).map(PathBuf::from)
    }

    fn parsed<T: FromStr>(&mut self, section: &str, key: &str, what: &str) -> Option<T> {
        let text = self.text(section, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(section, key, format!("{text:?} is no {what}"));
        }
        parsed
    }

    fn need(&mut self, section: &str, key: &str, why: &str) {
        if self.text(section, key).is_none() {
            self.fault(section, key, format!("is missing; {why}"));
        }
    }

    /// Ranges and lengths as the types say; their names are those of the keys.
    fn judged<T: Validate<Context = ()>>(&mut self, section: &str, part: T) -> Option<T> {
        let Err(report) = part.validate() else { return Some(part) };
        for (path, error) in report.iter() {
            let key = path.to_string().replace('_', "-");
            let text = self.text(section, &key).unwrap_or_default();
            self.fault(section, &key, format!("{text:?}: {error}"));
        }
        None
    }

    fn management(&mut self) -> Option<ManagementSection> {
        let section = "management";
        self.all.get(section)?;
        self.need(section, "owner", "the user who passes by every access rule");
        let separate_startup = match self.text(section, "restart").as_deref() {
            None | Some("running") => false,
            Some("startup") => true,
            Some(other) => {
                self.fault(section, "restart", format!("{other:?} is neither running nor startup"));
                false
            }
        };
        let part = ManagementSection {
            owner: self.text(section, "owner").unwrap_or_default(),
            store: self.path(section, "store"),
            separate_startup,
            audit: self.path(section, "audit"),
        };
        if part.owner.is_empty() {
            return None;
        }
        self.judged(section, part)
    }

    fn number(&mut self, section: &str, key: &str, otherwise: u32) -> u32 {
        self.parsed(section, key, "whole number").unwrap_or(otherwise)
    }

    fn tls(&mut self, section: &str, listen: &str) -> Option<TlsSection> {
        let address = self.parsed::<SocketAddr>(section, listen, "address with a port")?;
        for key in ["certificate", "key", "client-ca"] {
            self.need(section, key, "TLS needs it, and clients prove themselves by certificates");
        }
        Some(TlsSection {
            listen: address,
            certificate: self.path(section, "certificate")?,
            key: self.path(section, "key")?,
            client_ca: self.path(section, "client-ca")?,
        })
    }

    fn netconf(&mut self) -> Option<NetconfSection> {
        let section = "netconf";
        self.all.get(section)?;
        let ssh = self.parsed(section, "ssh", "address with a port");
        if self.value(section, "ssh").is_some() {
            self.need(section, "host-key", "SSH needs it");
            self.need(section, "authorized-keys", "SSH lets in nobody else");
        }
        let part = NetconfSection {
            ssh,
            host_key: self.path(section, "host-key"),
            authorized_keys: self.path(section, "authorized-keys"),
            tls: self.tls(section, "tls"),
            handshakes: self.number(section, "handshakes", 32),
            handshake_seconds: self.number(section, "handshake-seconds", 10),
            message_kb: self.number(section, "message-kb", 1024),
        };
        if self.value(section, "ssh").is_none() && self.value(section, "tls").is_none() {
            self.section_fault(section, "neither ssh nor tls is told, so nothing would listen");
        }
        self.judged(section, part)
    }

    fn gnmi(&mut self) -> Option<GnmiSection> {
        let section = "gnmi";
        self.all.get(section)?;
        self.need(section, "listen", "an address with a port");
        let part = GnmiSection {
            tls: self.tls(section, "listen")?,
            subscribers: self.number(section, "subscribers", 64),
            message_kb: self.number(section, "message-kb", 1024),
            least_interval_ms: self.number(section, "least-interval-ms", 100),
        };
        self.judged(section, part)
    }
}
