//! One process of a fleet.

use super::layout::Layout;
use crate::{free_tcp, Process, Signal, Start};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a process is started with its operator's file, which turns dissemination on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Dissemination {
    On,
    Off,
}

/// Why a client was not served an object.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The connection failed or ended early.
    #[error("no answer")]
    NoAnswer,
    /// The whole answer, whose status is not 200.
    #[error("{0}")]
    Status(String),
}

/// A control node or dispatcher of a fleet.
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it receives and sends datagrams, behind the proxy.
    pub socket_address: SocketAddr,
    /// Where clients reach it, if it is a dispatcher.
    pub address: SocketAddr,
    /// Its process, while it runs.
    pub process: Option<Process>,
    pub(super) config: PathBuf,
    pub(super) operator: PathBuf,
    log: PathBuf,
    pub(super) command: &'static str,
    log_level: &'static str,
}

impl Member {
    /// A member that is not started yet, at a free port.
    pub(super) fn new(
        layout: &Layout,
        name: &str,
        command: &'static str,
        socket_address: SocketAddr,
    ) -> io::Result<Member> {
        let file = |kind: &str| layout.folder.join(format!("{name}.{kind}"));
        Ok(Member {
            name: name.to_string(),
            socket_address,
            address: free_tcp()?,
            process: None,
            config: file("json"),
            operator: file("ini"),
            log: file("log"),
            command,
            log_level: if command == "serve" { layout.log_level } else { "info" },
        })
    }

    /// Starts its process.
    pub(super) fn start(&mut self, program: &Path, dissemination: Dissemination) -> io::Result<()> {
        let start = Start::of(program).args([self.command, "--log", self.log_level, "--config"]);
        let start = start.arg(&self.config).log(&self.log);
        let mut start = start.env_remove("GW_LISTEN").env_remove("GW_NAME").env_remove("ROCKFLOW_OPERATOR");
        if dissemination == Dissemination::On {
            start = start.arg("--operator").arg(&self.operator);
        }
        self.process = Some(start.start()?);
        Ok(())
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Sends a signal to its process.
    ///
    /// # Errors
    /// If it does not run, or if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let gone = || io::Error::new(io::ErrorKind::NotFound, "it does not run");
        self.process.as_ref().ok_or_else(gone)?.signal(signal)
    }

    /// The content of its log file, that of its earlier processes included.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The path of its log file.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Whether it answers that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get("/_health", &[]).is_some_and(|answer| answer.starts_with("HTTP/1.1 200 "))
    }

    /// Requests an object of the first request class as a client, and returns the body of the answer.
    ///
    /// # Errors
    /// If there is no answer, or none with status 200.
    pub fn serve(&self, object: &str, call: u64) -> Result<String, ServeError> {
        let call = format!("{call:016x}");
        let headers = [("X-Call-Id", call.as_str()), ("X-Group", "1"), ("X-Patience-Ms", "4000")];
        let answer = self.get(&format!("/invoke/pages/{object}"), &headers).ok_or(ServeError::NoAnswer)?;
        match answer.split_once("\r\n\r\n") {
            Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => Ok(body.to_string()),
            _ => Err(ServeError::Status(answer)),
        }
    }

    fn get(&self, path: &str, headers: &[(&str, &str)]) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.address, REQUEST_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
        let headers: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n{headers}\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }
}
