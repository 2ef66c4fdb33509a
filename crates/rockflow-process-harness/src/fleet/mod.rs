//! Runs the control nodes and dispatchers of one fleet as processes behind one datagram proxy, with their files and
//! logs.
//!
//! Every dispatcher of the layout has a front in the proxy and can be listed in the directory, even if its process is
//! never started.

mod layout;
mod member;

pub use layout::{Layout, Place};
pub use member::{Member, ServeError};

use crate::datagrams::Proxy;
use crate::free_udp;
use member::Dissemination;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration from which those of the members are made.
const EXAMPLE_CONFIG: &str = include_str!("../../../../deploy/example.json");

/// The members of a fleet. Their processes are killed when the fleet is dropped.
pub struct Fleet {
    layout: Layout,
    /// The proxy that carries the datagrams between all members.
    pub proxy: Proxy,
    /// The control nodes, by index. Their names are `control-0`, `control-1`, ...
    pub control: Vec<Member>,
    /// The dispatchers, by their index in the layout.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Chooses ports, starts the proxy and writes the files, but starts no process. The directory lists all
    /// dispatchers, and there are no administrative overrides. In the proxy the control nodes come first, then the
    /// dispatchers.
    ///
    /// # Errors
    /// If there is no free port, or if a file can't be written.
    pub fn prepare(layout: Layout) -> io::Result<Fleet> {
        let socket_addresses = free_udp(layout.control + layout.members.len())?;
        let proxy = Proxy::start(&socket_addresses, layout.seed)?;
        let (control_addresses, member_addresses) = socket_addresses.split_at(layout.control);
        let control = control_addresses.iter().enumerate();
        let control = control
            .map(|(index, address)| Member::new(&layout, &format!("control-{index}"), "control", *address));
        let members = layout.members.iter().zip(member_addresses);
        let members = members.map(|(place, address)| Member::new(&layout, &place.name, "serve", *address));
        let (control, members) = (control.collect::<io::Result<_>>()?, members.collect::<io::Result<_>>()?);
        let fleet = Fleet { layout, proxy, control, members };
        for member in &fleet.control {
            fleet.write_files(member, &fleet.control_section(&member.name), None)?;
        }
        for (index, member) in fleet.members.iter().enumerate() {
            fleet.write_files(member, "", fleet.layout.hosts.get(index))?;
        }
        fleet.write_overrides(&[])?;
        fleet.write_directory(1, |_| true)?;
        Ok(fleet)
    }

    /// The layout from which the fleet was prepared.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The index in the proxy of the dispatcher with the given index.
    pub fn proxy_index(&self, member: usize) -> usize {
        self.layout.control + member
    }

    /// The address at which other members reach a control node, which is its front in the proxy.
    pub fn control_address(&self, control: usize) -> SocketAddr {
        self.proxy.front(control)
    }

    /// The address at which other members reach a dispatcher, which is its front in the proxy.
    pub fn member_address(&self, member: usize) -> SocketAddr {
        self.proxy.front(self.proxy_index(member))
    }

    /// Writes the configuration and the operator file of a member. `extra_sections` are appended to the operator file;
    /// `hosts` replace those of the example configuration.
    fn write_files(&self, member: &Member, extra_sections: &str, hosts: Option<&Value>) -> io::Result<()> {
        let layout = &self.layout;
        let discovery = if member.command == "control" { layout.control_discovery } else { layout.discovery };
        let mut value: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
        value["name"] = json!(member.name);
        value["listen"] = json!(member.address.to_string());
        value["board"] = json!(discovery.to_string());
        if let Some(hosts) = hosts {
            value["known"]["notices"][0]["pool"]["instances"] = hosts.clone();
        }
        std::fs::write(&member.config, value.to_string())?;
        // Members reach a control node at its front in the proxy, not at the address at which it listens.
        let control_nodes = self.control.iter().enumerate();
        let control_nodes: Vec<_> = control_nodes
            .map(|(index, control)| format!("{}@{}", control.name, self.control_address(index)))
            .collect();
        let text = format!(
            "[dissemination]\nfleet = processes\nlisten = {}\ncontrol = {}\npurge-seconds = {}\n\
             bytes-per-second = {}\npulse-ms = {}\ntrusted-network = yes\n{extra_sections}",
            member.socket_address,
            control_nodes.join(","),
            layout.purge_window.as_secs_f64(),
            layout.bytes_per_second,
            layout.heartbeat_interval.as_millis(),
        );
        std::fs::write(&member.operator, text)
    }

    /// The `[control]` section of a control node's operator file.
    fn control_section(&self, name: &str) -> String {
        let (directory, overrides) = (self.directory_path(name), self.overrides_path(name));
        format!("[control]\ndirectory = {}\nmarks = {}\n", directory.display(), overrides.display())
    }

    fn directory_path(&self, control: &str) -> PathBuf {
        self.layout.folder.join(format!("{control}.directory.csv"))
    }

    fn overrides_path(&self, control: &str) -> PathBuf {
        self.layout.folder.join(format!("{control}.marks"))
    }

    /// Writes the directory file of every control node. It lists the dispatchers whose index satisfies `is_listed`.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn write_directory(&self, version: u64, is_listed: impl Fn(usize) -> bool) -> io::Result<()> {
        let mut text = format!("version,{version}\n");
        let listed = self.layout.members.iter().enumerate().filter(|(index, _)| is_listed(*index));
        for (index, Place { name, region, site, zone }) in listed {
            text += &format!("{name},{region},{site},{zone},{}\n", self.member_address(index));
        }
        self.control.iter().try_for_each(|control| std::fs::write(self.directory_path(&control.name), &text))
    }

    /// Writes administrative overrides, as pairs of a host and its state, to the file of every control node. A control
    /// node rereads the file on SIGHUP.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn write_overrides(&self, overrides: &[(&str, &str)]) -> io::Result<()> {
        (0..self.control.len()).try_for_each(|control| self.write_overrides_at(control, overrides))
    }

    /// Writes administrative overrides to the file of one control node, as [`Fleet::write_overrides`] does.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_overrides_at(&self, control: usize, overrides: &[(&str, &str)]) -> io::Result<()> {
        let text: String = overrides.iter().map(|(host, state)| format!("{host} = {state}\n")).collect();
        std::fs::write(self.overrides_path(&self.control[control].name), text)
    }

    /// Starts the process of a control node.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_control(&mut self, control: usize) -> io::Result<()> {
        self.control[control].start(&self.layout.program, Dissemination::On)
    }

    /// Starts the process of a dispatcher.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_member(&mut self, member: usize) -> io::Result<()> {
        self.members[member].start(&self.layout.program, Dissemination::On)
    }

    /// Starts the process of a dispatcher without its operator file, and so without dissemination.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_member_without_dissemination(&mut self, member: usize) -> io::Result<()> {
        self.members[member].start(&self.layout.program, Dissemination::Off)
    }
}
