//! Control nodes and dispatchers of one fleet as real processes behind one proxy: their files, their lives, their logs.
//! A member that is no process here has its place in the proxy and in the directory all the same.

use crate::datagrams::Proxy;
use crate::{free_tcp, free_udp, Process, Signal, Start};
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../deploy/example.json");

/// Where a dispatcher stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub name: String,
    pub region: String,
    pub site: String,
    pub zone: String,
}

/// What a fleet is laid out by.
pub struct Layout {
    pub program: PathBuf,
    /// Files and logs are written there; its owner removes it.
    pub folder: PathBuf,
    pub control: usize,
    pub members: Vec<Place>,
    /// The boards that control nodes and dispatchers follow.
    pub control_board: SocketAddr,
    pub board: SocketAddr,
    /// The hosts that each dispatcher knows at its start, as the board words them; of one that is not there: those of
    /// the example.
    pub hosts: Vec<Value>,
    pub pulse: Duration,
    pub purge_window: Duration,
    pub bytes_per_second: u32,
    pub seed: u64,
    /// The least level of the dispatchers' log lines.
    pub log_level: &'static str,
}

/// A process of the fleet; none while it does not run.
pub struct Member {
    pub name: String,
    /// Where its datagrams come in and go out, behind the proxy.
    pub socket_address: SocketAddr,
    /// Where clients reach a dispatcher.
    pub address: SocketAddr,
    pub process: Option<Process>,
    config: PathBuf,
    operator: PathBuf,
    log: PathBuf,
    command: &'static str,
    log_level: &'static str,
}

impl Member {
    fn start(&mut self, program: &Path, with_section: bool) -> io::Result<()> {
        let start = Start::of(program).args([self.command, "--log", self.log_level, "--config"]);
        let start = start.arg(&self.config).log(&self.log);
        let mut start = start.env_remove("GW_LISTEN").env_remove("GW_NAME").env_remove("ROCKFLOW_OPERATOR");
        if with_section {
            start = start.arg("--operator").arg(&self.operator);
        }
        self.process = Some(start.start()?);
        Ok(())
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.process = None;
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let gone = || io::Error::new(io::ErrorKind::NotFound, "it does not run");
        self.process.as_ref().ok_or_else(gone)?.signal(signal)
    }

    /// All that its lives have logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Whether it answers that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get("/_health", &[]).is_some_and(|answer| answer.starts_with("HTTP/1.1 200 "))
    }

    /// What a client is served for an object of the first class.
    ///
    /// # Errors
    /// What came instead.
    pub fn serve(&self, object: &str, call: u64) -> Result<String, String> {
        let call = format!("{call:016x}");
        let headers = [("X-Call-Id", call.as_str()), ("X-Group", "1"), ("X-Patience-Ms", "4000")];
        let answer = self.get(&format!("/invoke/pages/{object}"), &headers).ok_or("no answer")?;
        match answer.split_once("\r\n\r\n") {
            Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => Ok(body.to_string()),
            _ => Err(answer),
        }
    }

    fn get(&self, path: &str, headers: &[(&str, &str)]) -> Option<String> {
        let patience = Duration::from_secs(5);
        let mut stream = TcpStream::connect_timeout(&self.address, patience).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        let headers: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n{headers}\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }
}

pub struct Fleet {
    layout: Layout,
    pub proxy: Proxy,
    pub control: Vec<Member>,
    /// All dispatchers by their place in the layout.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Chooses ports, starts the proxy and writes the files; no process yet. In the proxy control nodes come first, then
    /// the members.
    pub fn prepare(layout: Layout) -> io::Result<Fleet> {
        let behind = free_udp(layout.control + layout.members.len())?;
        let proxy = Proxy::start(&behind, layout.seed)?;
        let (at_control, at_members) = behind.split_at(layout.control);
        let control = at_control.iter().enumerate();
        let control = control.map(|(place, at)| member(&layout, &format!("control-{place}"), "control", *at));
        let members = layout.members.iter().zip(at_members);
        let members = members.map(|(place, at)| member(&layout, &place.name, "serve", *at));
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

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The place of a dispatcher in the proxy.
    pub fn proxy_index(&self, member: usize) -> usize {
        self.layout.control + member
    }

    /// Where others reach a control node, or a dispatcher.
    pub fn control_address(&self, place: usize) -> SocketAddr {
        self.proxy.front(place)
    }

    pub fn member_address(&self, place: usize) -> SocketAddr {
        self.proxy.front(self.proxy_index(place))
    }

    fn write(&self, member: &Member, more: &str, hosts: Option<&Value>) -> io::Result<()> {
        let layout = &self.layout;
        let board = if member.command == "control" { layout.control_board } else { layout.board };
        let mut value: Value = serde_json::from_str(EXAMPLE)?;
        value["name"] = json!(member.name);
        value["listen"] = json!(member.address.to_string());
        value["board"] = json!(board.to_string());
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
            layout.pulse.as_millis(),
        );
        std::fs::write(&member.operator, text)
    }

    fn control_section(&self, name: &str) -> String {
        let (directory, marks) = (self.directory_of(name), self.marks_of(name));
        format!("[control]\ndirectory = {}\nmarks = {}\n", directory.display(), marks.display())
    }

    fn directory_of(&self, control: &str) -> PathBuf {
        self.layout.folder.join(format!("{control}.directory.csv"))
    }

    fn marks_of(&self, control: &str) -> PathBuf {
        self.layout.folder.join(format!("{control}.marks"))
    }

    /// Writes the directory for all control nodes: those members that are told.
    pub fn write_directory(&self, version: u64, told: impl Fn(usize) -> bool) -> io::Result<()> {
        let mut text = format!("version,{version}\n");
        for (at, place) in self.layout.members.iter().enumerate().filter(|(at, _)| told(*at)) {
            let Place { name, region, site, zone } = place;
            text += &format!("{name},{region},{site},{zone},{}\n", self.member_address(at));
        }
        self.control.iter().try_for_each(|control| std::fs::write(self.directory_of(&control.name), &text))
    }

    /// Writes the marks on hosts for all control nodes; they read them at SIGHUP.
    pub fn write_overrides(&self, marks: &[(&str, &str)]) -> io::Result<()> {
        (0..self.control.len()).try_for_each(|control| self.write_overrides_at(control, marks))
    }

    /// The same for one of them.
    pub fn write_overrides_at(&self, control: usize, marks: &[(&str, &str)]) -> io::Result<()> {
        let text: String = marks.iter().map(|(host, wanted)| format!("{host} = {wanted}\n")).collect();
        std::fs::write(self.marks_of(&self.control[control].name), text)
    }

    pub fn start_control(&mut self, place: usize) -> io::Result<()> {
        self.control[place].start(&self.layout.program, true)
    }

    pub fn start_member(&mut self, place: usize) -> io::Result<()> {
        self.members[place].start(&self.layout.program, true)
    }

    /// Without the operator's file: no section, nothing of dissemination.
    pub fn start_member_without_dissemination(&mut self, place: usize) -> io::Result<()> {
        self.members[place].start(&self.layout.program, false)
    }
}

fn member(layout: &Layout, name: &str, command: &'static str, behind: SocketAddr) -> io::Result<Member> {
    let file = |kind: &str| layout.folder.join(format!("{name}.{kind}"));
    Ok(Member {
        name: name.to_string(),
        socket_address: behind,
        address: free_tcp()?,
        process: None,
        config: file("json"),
        operator: file("ini"),
        log: file("log"),
        command,
        log_level: if command == "serve" { layout.log_level } else { "info" },
    })
}
