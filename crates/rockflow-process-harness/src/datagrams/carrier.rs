//! Receives datagrams at the fronts and delivers them, in the thread of the proxy.

use super::state::{lock, ProxyState, SharedState};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, Notify};

/// Datagrams that are read from one front before the tasks of the other fronts run.
const MAX_BATCH: usize = 32;
/// The size of the receive buffer, and so of the largest datagram that is carried without truncation.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Owns the sockets of the fronts, and carries the datagrams that arrive there.
pub(super) struct Carrier {
    fronts: Vec<UdpSocket>,
    /// The addresses of the members' own sockets, by index.
    members: Vec<SocketAddr>,
    /// The index of each member by the address of its own socket.
    indices: HashMap<SocketAddr, usize>,
    state: SharedState,
    /// Notified when a datagram was queued for later delivery.
    delayed: Notify,
}

impl Carrier {
    /// Creates a carrier for the members at the given addresses. The fronts must be non-blocking. Must be called within
    /// the runtime on which the carrier will run.
    pub(super) fn new(
        fronts: Vec<std::net::UdpSocket>,
        members: Vec<SocketAddr>,
        state: SharedState,
    ) -> io::Result<Carrier> {
        let fronts = fronts.into_iter().map(UdpSocket::from_std).collect::<io::Result<_>>()?;
        let indices = members.iter().enumerate().map(|(index, address)| (*address, index)).collect();
        Ok(Carrier { fronts, members, indices, state, delayed: Notify::new() })
    }

    /// Carries datagrams until `stopped` resolves.
    pub(super) async fn run(self, stopped: oneshot::Receiver<()>) {
        let carrier = Arc::new(self);
        for front in 0..carrier.fronts.len() {
            tokio::spawn(carrier.clone().receive(front));
        }
        tokio::select! {
            _ = stopped => {}
            () = carrier.deliver_delayed() => {}
        }
    }

    /// Carries the datagrams that arrive at the front of the member `to`.
    async fn receive(self: Arc<Self>, to: usize) {
        let socket = &self.fronts[to];
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if socket.readable().await.is_err() {
                return;
            }
            for _ in 0..MAX_BATCH {
                match socket.try_recv_from(&mut buffer) {
                    Ok((length, from)) => self.carry(from, to, &buffer[..length]),
                    // The socket reports that an earlier datagram sent from this front went to a port at which no
                    // member listened. Datagrams that wait to be received are not affected.
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Counts a datagram and applies the rules of its path to it.
    fn carry(&self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let mut state = lock(&self.state);
        let Some(from) = self.indices.get(&from).copied() else {
            state.tally.foreign += 1;
            return;
        };
        state.traffic[from].frames_out += 1;
        state.traffic[from].bytes_out += bytes.len() as u64;
        let delayed_before = state.delayed_count();
        for _ in 0..state.apply_conditions(from, to, bytes) {
            self.deliver(&mut state, from, to, bytes);
        }
        if state.delayed_count() > delayed_before {
            self.delayed.notify_one();
        }
    }

    /// Sends a datagram to its receiver from the front of its sender.
    fn deliver(&self, state: &mut ProxyState, from: usize, to: usize, bytes: &[u8]) {
        match self.fronts[from].try_send_to(bytes, self.members[to]) {
            Ok(_) => {
                state.tally.carried += 1;
                state.traffic[to].frames_in += 1;
                state.traffic[to].bytes_in += bytes.len() as u64;
            }
            Err(_) => state.tally.refused += 1,
        }
    }

    /// Delivers delayed datagrams when they are due. Never returns.
    async fn deliver_delayed(&self) {
        loop {
            let next_due = self.deliver_due();
            match next_due {
                None => self.delayed.notified().await,
                Some(due) => tokio::select! {
                    () = self.delayed.notified() => {}
                    () = tokio::time::sleep_until(due.into()) => {}
                },
            }
        }
    }

    /// Delivers the datagrams that are due, and returns when the next one will be; `None` if none is delayed.
    fn deliver_due(&self) -> Option<Instant> {
        let mut state = lock(&self.state);
        let now = Instant::now();
        while let Some(datagram) = state.pop_due(now) {
            self.deliver(&mut state, datagram.from, datagram.to, &datagram.bytes);
        }
        state.next_due()
    }
}
