//! The proxy's thread: receives datagrams at the fronts, and delivers them.

use super::state::{lock, ProxyState, SharedState};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, Notify};

/// Datagrams that are read from one front before the others have their turn.
const MAX_BATCH: usize = 32;
/// The largest datagram that is carried.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Owns the fronts, and carries what arrives there.
pub(super) struct Carrier {
    fronts: Vec<UdpSocket>,
    /// The members' own addresses.
    members: Vec<SocketAddr>,
    /// The members' indices by their own address.
    indices: HashMap<SocketAddr, usize>,
    state: SharedState,
    /// Notified when a datagram was delayed.
    delayed: Notify,
}

impl Carrier {
    /// A carrier for members with the given addresses and non-blocking fronts. Needs the runtime that it will run on.
    pub(super) fn new(
        fronts: Vec<std::net::UdpSocket>,
        members: Vec<SocketAddr>,
        state: SharedState,
    ) -> io::Result<Carrier> {
        let fronts = fronts.into_iter().map(UdpSocket::from_std).collect::<io::Result<_>>()?;
        let indices = members.iter().enumerate().map(|(index, address)| (*address, index)).collect();
        Ok(Carrier { fronts, members, indices, state, delayed: Notify::new() })
    }

    /// Carries datagrams till stopped.
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

    /// Carries all that arrives at one front.
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
                    // An earlier datagram from this front reached a member that does not listen just now.
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
            }
            tokio::task::yield_now().await;
        }
    }

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

    /// Sends a datagram to its receiver, from the sender's front.
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

    /// Delivers what is due, and returns when the next one will be.
    fn deliver_due(&self) -> Option<Instant> {
        let mut state = lock(&self.state);
        let now = Instant::now();
        while let Some(datagram) = state.pop_due(now) {
            self.deliver(&mut state, datagram.from, datagram.to, &datagram.bytes);
        }
        state.next_due()
    }
}
