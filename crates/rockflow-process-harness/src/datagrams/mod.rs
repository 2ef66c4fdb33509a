//! A proxy that carries datagrams between known members and injects faults.
//!
//! The proxy has one socket for each member, which is called the member's front. Other members send to the front
//! instead of to the member. The proxy delivers a datagram from the front of its sender, so that a reply to the source
//! address passes through the proxy as well, and one socket for each member serves both directions. Datagrams whose
//! source is not the socket of a member are counted and dropped.

mod carrier;
mod counts;
mod rules;
mod state;

pub use counts::{Tally, TrafficCounts};
pub use rules::{MemberSet, PathConditions, Rule, RuleId};

use carrier::Carrier;
use state::{lock, ProxyState, SharedState};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// The most datagrams that wait for delayed delivery at once. Further ones are dropped and counted in [`Tally::over`].
pub const MAX_DELAYED_DATAGRAMS: usize = 65_536;

/// A running proxy, whose thread stops when the handle is dropped.
pub struct Proxy {
    fronts: Vec<SocketAddr>,
    state: SharedState,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy for members whose sockets have the given addresses. Members are identified by their index in
    /// `members`; `seed` determines the random faults.
    ///
    /// # Errors
    /// If a socket, the runtime or the thread can't be created.
    pub fn start(members: &[SocketAddr], seed: u64) -> io::Result<Proxy> {
        let mut sockets = Vec::new();
        for _ in members {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let fronts = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let state = Arc::new(Mutex::new(ProxyState::new(members.len(), seed)));
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
        let (members, thread_state) = (members.to_vec(), state.clone());
        let thread = std::thread::Builder::new().name("proxy".to_string()).spawn(move || {
            runtime.block_on(async move {
                let carrier = Carrier::new(sockets, members, thread_state);
                carrier.expect("sockets registered with the runtime").run(stopped).await;
            });
        })?;
        Ok(Proxy { fronts, state, stop: Some(stop), thread: Some(thread) })
    }

    /// The address at which other members reach a member through the proxy.
    ///
    /// # Panics
    /// If there is no such member.
    pub fn front(&self, member: usize) -> SocketAddr {
        self.fronts[member]
    }

    /// Adds a rule, which applies from now on in addition to the earlier ones.
    pub fn add(&self, rule: Rule) -> RuleId {
        lock(&self.state).add_rule(rule)
    }

    /// Removes a rule. Datagrams that it has delayed keep their delay. Does nothing if the rule has been removed
    /// already.
    pub fn remove(&self, id: RuleId) {
        lock(&self.state).remove_rule(id);
    }

    /// The traffic of a member since the proxy started.
    ///
    /// # Panics
    /// If there is no such member.
    pub fn traffic(&self, member: usize) -> TrafficCounts {
        lock(&self.state).traffic[member]
    }

    /// The traffic of all members since the proxy started, by index.
    pub fn traffic_of_all(&self) -> Vec<TrafficCounts> {
        lock(&self.state).traffic.clone()
    }

    /// The outcomes of all datagrams since the proxy started.
    pub fn tally(&self) -> Tally {
        lock(&self.state).tally
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
