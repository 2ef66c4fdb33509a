//! A proxy for datagrams between known members, with faults.
//!
//! Each member has a socket of the proxy, its front. Others send to the front in place of the member, and what arrives
//! there from a member's own socket is delivered from the sender's front. So an answer to a datagram's source passes
//! through the proxy too, and one socket a member serves both directions. What comes from no member's socket is counted
//! and dropped.

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

/// Datagrams that are delayed at once; more are dropped, and counted.
pub const MAX_DELAYED_DATAGRAMS: usize = 65_536;

/// A proxy in front of members, with a thread of its own, which stops when the handle is dropped.
pub struct Proxy {
    fronts: Vec<SocketAddr>,
    state: SharedState,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy for members that receive at, and send from, the given addresses. `seed` is that of the random
    /// faults.
    ///
    /// # Errors
    /// If a socket, the runtime or the thread can't be made.
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
                carrier.expect("sockets that do not block").run(stopped).await;
            });
        })?;
        Ok(Proxy { fronts, state, stop: Some(stop), thread: Some(thread) })
    }

    /// The address at which others reach a member.
    ///
    /// # Panics
    /// If there is no such member.
    pub fn front(&self, member: usize) -> SocketAddr {
        self.fronts[member]
    }

    /// Adds a rule, which applies from now on beside the earlier ones.
    pub fn add(&self, rule: Rule) -> RuleId {
        lock(&self.state).add_rule(rule)
    }

    /// Removes a rule. Datagrams that it delayed stay delayed.
    pub fn remove(&self, id: RuleId) {
        lock(&self.state).remove_rule(id);
    }

    /// The traffic of a member so far.
    ///
    /// # Panics
    /// If there is no such member.
    pub fn traffic(&self, member: usize) -> TrafficCounts {
        lock(&self.state).traffic[member]
    }

    /// The traffic of all members so far, by index.
    pub fn traffic_of_all(&self) -> Vec<TrafficCounts> {
        lock(&self.state).traffic.clone()
    }

    /// What became of all datagrams so far.
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
