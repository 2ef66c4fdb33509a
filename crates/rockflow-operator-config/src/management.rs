//! Reads the sections `[management]`, `[netconf]` and `[gnmi]`.

use crate::reader::{Reader, ADDRESS};
use crate::sections::{GnmiSection, ManagementSection, NetconfSection, RestartFrom, TlsSection};
use std::net::SocketAddr;

const DEFAULT_HANDSHAKES: u32 = 32;
const DEFAULT_HANDSHAKE_SECONDS: u32 = 10;
const DEFAULT_MESSAGE_KB: u32 = 1024;
const DEFAULT_SUBSCRIBERS: u32 = 64;
const DEFAULT_LEAST_INTERVAL_MS: u32 = 100;

impl Reader {
    pub(crate) fn read_management(&mut self) -> Option<ManagementSection> {
        let section = "management";
        if !self.has_section(section) {
            return None;
        }
        self.require(section, "owner", "the user to whom no access rule applies");
        let restart_from = self.read_restart(section);
        let read = ManagementSection {
            owner: self.text(section, "owner").unwrap_or_default(),
            store: self.path(section, "store"),
            restart_from,
            audit: self.path(section, "audit"),
        };
        if read.owner.is_empty() {
            return None;
        }
        self.validated(section, read)
    }

    pub(crate) fn read_netconf(&mut self) -> Option<NetconfSection> {
        let section = "netconf";
        if !self.has_section(section) {
            return None;
        }
        let ssh = self.parsed(section, "ssh", ADDRESS);
        if self.has_key(section, "ssh") {
            self.require(section, "host-key", "SSH needs it");
            self.require(section, "authorized-keys", "SSH accepts only the users that it lists");
        }
        let read = NetconfSection {
            ssh,
            host_key: self.path(section, "host-key"),
            authorized_keys: self.path(section, "authorized-keys"),
            tls: self.read_tls(section, "tls"),
            handshakes: self.number(section, "handshakes", DEFAULT_HANDSHAKES),
            handshake_seconds: self.number(section, "handshake-seconds", DEFAULT_HANDSHAKE_SECONDS),
            message_kb: self.number(section, "message-kb", DEFAULT_MESSAGE_KB),
        };
        if !self.has_key(section, "ssh") && !self.has_key(section, "tls") {
            self.report_section(section, "neither ssh nor tls is set, so the server would have no listener");
        }
        self.validated(section, read)
    }

    pub(crate) fn read_gnmi(&mut self) -> Option<GnmiSection> {
        let section = "gnmi";
        if !self.has_section(section) {
            return None;
        }
        self.require(section, "listen", "an address with a port");
        let read = GnmiSection {
            tls: self.read_tls(section, "listen")?,
            subscribers: self.number(section, "subscribers", DEFAULT_SUBSCRIBERS),
            message_kb: self.number(section, "message-kb", DEFAULT_MESSAGE_KB),
            least_interval_ms: self.number(section, "least-interval-ms", DEFAULT_LEAST_INTERVAL_MS),
        };
        self.validated(section, read)
    }

    fn read_restart(&mut self, section: &str) -> RestartFrom {
        match self.text(section, "restart").as_deref() {
            None | Some("running") => RestartFrom::Running,
            Some("startup") => RestartFrom::Startup,
            Some(other) => {
                self.report(section, "restart", format!("{other:?} is neither running nor startup"));
                RestartFrom::Running
            }
        }
    }

    /// Reads the TLS keys of a section. `None` if `address_key` is absent, or if the address or a file is
    /// missing or invalid; each such fault is reported.
    fn read_tls(&mut self, section: &str, address_key: &str) -> Option<TlsSection> {
        let listen = self.parsed::<SocketAddr>(section, address_key, ADDRESS)?;
        for key in ["certificate", "key", "client-ca"] {
            self.require(section, key, "TLS needs it; clients authenticate with certificates");
        }
        Some(TlsSection {
            listen,
            certificate: self.path(section, "certificate")?,
            key: self.path(section, "key")?,
            client_ca: self.path(section, "client-ca")?,
        })
    }
}
