//! The control nodes and dispatchers of one fleet as processes behind one proxy, with their files and logs.
//!
//! A dispatcher that is not started here has its place in the proxy and in the directory all the same.

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

const EXAMPLE: &str = include_str!("../../../../deploy/example.json");

/// The processes of a fleet, each of which is killed when the fleet is dropped.
pub struct Fleet {
    layout: Layout,
    /// The proxy between them.
    pub proxy: Proxy,
    /// The control nodes, by number.
    pub control: Vec<Member>,
    /// The dispatchers, by their index in the layout.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Chooses ports, starts the proxy and writes the files, but starts no process. In the proxy control nodes come
    /// first, then the dispatchers.
    ///
    /// # Errors
    /// If there is no free port, or if a file can't be written.
    pub fn prepare(layout: Layout) -> io::Result<Fleet> {
        let behind = free_udp(layout.control + layout.members.len())?;
        let proxy = Proxy::start(&behind, layout.seed)?;
        let (at_control, at_members) = behind.split_at(layout.control);
        let control = at_control.iter().enumerate();
        let control =
            control.map(|(place, at)| Member::new(&layout, &format!("control-{place}"), "control", *at));
        let members = layout.members.iter().zip(at_members);
        let members = members.map(|(place, at)| Member::new(&layout, &place.name, "serve", *at));
        let (control, members) = (control.collect::<io::Result<_>>()?, members.collect::<io::Result<_>>()?);
        let fleet = Fleet { layout, proxy, control, members };
        for member in &fleet.control {
            fleet.write(member, &fleet.control_section(&member.name), None)?;
        }
        for (place, member) in fleet.members.iter().enumerate() {
            fleet.write(member, "", fleet.layout.hosts.get(place))?;
        }
        fleet.write_overrides(&[])?;
        fleet.write_directory(1, |_| true)?;
        Ok(fleet)
    }

    /// What it consists of.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The index of a dispatcher in the proxy.
    pub fn proxy_index(&self, member: usize) -> usize {
        self.layout.control + member
    }

    /// The address at which others reach a control node.
    pub fn control_address(&self, place: usize) -> SocketAddr {
        self.proxy.front(place)
    }

    /// The address at which others reach a dispatcher.
    pub fn member_address(&self, place: usize) -> SocketAddr {
        self.proxy.front(self.proxy_index(place))
    }

    fn write(&self, member: &Member, more: &str, hosts: Option<&Value>) -> io::Result<()> {
        let layout = &self.layout;
        let discovery = if member.command == "control" { layout.control_discovery } else { layout.discovery };
        let mut value: Value = serde_json::from_str(EXAMPLE)?;
        value["name"] = json!(member.name);
        value["listen"] = json!(member.address.to_string());
        value["board"] = json!(discovery.to_string());
        if let Some(hosts) = hosts {
            value["known"]["notices"][0]["pool"]["instances"] = hosts.clone();
        }
        std::fs::write(&member.config, value.to_string())?;
        let named = self.control.iter().enumerate();
        let named: Vec<_> = named
            .map(|(place, control)| format!("{}@{}", control.name, self.control_address(place)))
            .collect();
        // Behind the proxy a control node is known by another address than that at which it listens.
        let text = format!(
            "[dissemination]\nfleet = processes\nlisten = {}\ncontrol = {}\npurge-seconds = {}\n\
             bytes-per-second = {}\npulse-ms = {}\ntrusted-network = yes\n{more}",
            member.socket_address,
            named.join(","),
            layout.purge_window.as_secs_f64(),
            layout.bytes_per_second,
            layout.heartbeat_interval.as_millis(),
        );
        std::fs::write(&member.operator, text)
    }

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

    /// Writes the directory of all control nodes, with those dispatchers for which `is_listed` holds.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn write_directory(&self, version: u64, is_listed: impl Fn(usize) -> bool) -> io::Result<()> {
        let mut text = format!("version,{version}\n");
        for (at, place) in self.layout.members.iter().enumerate().filter(|(at, _)| is_listed(*at)) {
            let Place { name, region, site, zone } = place;
            text += &format!("{name},{region},{site},{zone},{}\n", self.member_address(at));
        }
        self.control.iter().try_for_each(|control| std::fs::write(self.directory_path(&control.name), &text))
    }

    /// Writes the administrative overrides of hosts, each with its host and state, for all control nodes, which read them
    /// at SIGHUP.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn write_overrides(&self, overrides: &[(&str, &str)]) -> io::Result<()> {
        (0..self.control.len()).try_for_each(|control| self.write_overrides_at(control, overrides))
    }

    /// Writes the administrative overrides for one control node.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_overrides_at(&self, control: usize, overrides: &[(&str, &str)]) -> io::Result<()> {
        let text: String = overrides.iter().map(|(host, state)| format!("{host} = {state}\n")).collect();
        std::fs::write(self.overrides_path(&self.control[control].name), text)
    }

    /// Starts a control node.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_control(&mut self, place: usize) -> io::Result<()> {
        self.control[place].start(&self.layout.program, Dissemination::On)
    }

    /// Starts a dispatcher.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_member(&mut self, place: usize) -> io::Result<()> {
        self.members[place].start(&self.layout.program, Dissemination::On)
    }

    /// Starts a dispatcher without its operator's file, and so without dissemination.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_member_without_dissemination(&mut self, place: usize) -> io::Result<()> {
        self.members[place].start(&self.layout.program, Dissemination::Off)
    }
}
