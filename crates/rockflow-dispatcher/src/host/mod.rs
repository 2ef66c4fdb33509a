//! The actor of all hosts. It owns the connections to each host and the attempts that wait for one, and keeps state
//! only for hosts that have either: a fleet of thousands of listed hosts costs no more than those in use.

mod connections;
mod handle;
pub mod message;

use crate::connection_pool::ConnectionPool;
use crate::host::connections::HostConnections;
use crate::host::message::{HostMessage, HostsMessage};
use crate::mailbox::{Mailbox, Wake};
use may::coroutine;
use std::collections::BTreeMap;
use std::sync::Arc;

pub use handle::{HostHandle, HostNumber};

/// Owns the state of every host that has connections or attempts.
pub struct HostsActor {
    pool: Arc<ConnectionPool>,
    mailbox: Arc<Mailbox<HostsMessage>>,
    hosts: BTreeMap<HostNumber, HostConnections>,
}

impl HostsActor {
    /// Creates the actor without any hosts.
    pub fn new(pool: Arc<ConnectionPool>, mailbox: Arc<Mailbox<HostsMessage>>) -> Self {
        HostsActor { pool, mailbox, hosts: BTreeMap::new() }
    }

    /// Handles messages as they arrive. Never returns.
    pub fn run(&mut self) {
        self.mailbox.wake_by(Wake::Park(coroutine::current()));
        loop {
            match self.mailbox.take() {
                Some(HostsMessage::ToHost { host, message }) => self.on_message(host, message),
                Some(HostsMessage::Inspect) => self.inspect(),
                None => coroutine::park(),
            }
        }
    }

    fn inspect(&mut self) {
        self.hosts.retain(|_, host| !host.is_unused());
        for host in self.hosts.values() {
            host.retire_exhausted();
        }
    }

    fn on_message(&mut self, handle: HostHandle, message: HostMessage) {
        let number = handle.number();
        if !self.hosts.contains_key(&number) {
            // Only these start something; the others concern what a host without state doesn't have.
            if !matches!(message, HostMessage::Send(_) | HostMessage::CheckHealth { .. }) {
                if matches!(message, HostMessage::RoomFreed) {
                    self.pool.pass_room_on();
                }
                return;
            }
            self.hosts.insert(number, HostConnections::new(handle, self.pool.clone()));
        }
        let Some(host) = self.hosts.get_mut(&number) else { return };
        host.on_message(message);
        if host.is_unused() {
            self.hosts.remove(&number);
        }
    }
}
