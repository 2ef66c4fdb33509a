//! Follows the discovery service for its purges only, for components that publish them to others.

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::clock::DiscoveryClock;
use crate::discovery::message::DiscoveryMessage;
use crate::discovery::{DiscoveryClient, SharedDiscoveryStatus};
use crate::endpoint_list::message::EndpointListMessage;
use crate::mailbox::{Mailbox, Wake};
use crate::purge::{Purge, PurgeTimestamp};
use crate::purge_backlog::{PurgeBacklog, CATCH_UP_CHECK_INTERVAL, MAX_CLOCK_SKEW, MAX_DELIVERY_DELAY};
use crate::supervisor::{spawn, LARGE_STACK_WORDS};
use crate::timer;
use may::coroutine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A purge received from discovery.
pub struct ObservedPurge {
    /// The purge.
    pub purge: Purge,
    /// How long ago the purge was made, corrected for the offset of discovery's clock.
    pub age: Duration,
    /// Whether the purge belongs to the history that discovery sent at the start.
    pub is_backlog: bool,
}

/// A running follower.
pub struct PurgeFollower {
    discovery: Arc<Mailbox<DiscoveryMessage>>,
    /// Status of the connection to discovery.
    pub status: Arc<SharedDiscoveryStatus>,
}

impl PurgeFollower {
    /// Starts following discovery. `on_purge` is called for each purge in a separate actor; it must not
    /// block.
    ///
    /// Discovery sends its whole history of purges to a new follower. Purges that are older than
    /// `purge_window`, the time in which a purge is in effect, are left out, with allowance for delivery
    /// delay and clock skew. The others are held until the history is complete, and then passed to
    /// `on_purge`.
    ///
    /// # Errors
    /// If an actor can't be started.
    pub fn start(
        clock: Clock,
        config: &Config,
        purge_window: Duration,
        on_purge: impl FnMut(ObservedPurge) + Send + 'static,
    ) -> std::io::Result<PurgeFollower> {
        let mailbox: Arc<Mailbox<EndpointListMessage>> = Mailbox::new();
        let mut client = DiscoveryClient::new(clock, config, mailbox.clone());
        let discovery = client.mailbox();
        let status = client.status();
        let follower = PurgeFollower { discovery, status: status.clone() };
        spawn("discovery", LARGE_STACK_WORDS, move || client.run())?;
        let mut actor = FollowerActor { clock, mailbox, status, purge_window, on_purge };
        spawn("purges", LARGE_STACK_WORDS, move || actor.run())?;
        Ok(follower)
    }

    /// Reconnects to discovery at another address.
    pub fn set_address(&self, address: SocketAddr) {
        self.discovery.send_urgent(DiscoveryMessage::SetAddress(address));
    }
}

/// Actor that receives the events of the discovery client and passes their purges to the callback.
struct FollowerActor<F> {
    clock: Clock,
    mailbox: Arc<Mailbox<EndpointListMessage>>,
    status: Arc<SharedDiscoveryStatus>,
    purge_window: Duration,
    on_purge: F,
}

impl<F: FnMut(ObservedPurge)> FollowerActor<F> {
    fn run(&mut self) {
        self.mailbox.wake_by(Wake::Park(coroutine::current()));
        let mut discovery_clock = DiscoveryClock::new(self.purge_window, self.clock.now());
        self.collect_backlog();
        loop {
            match self.mailbox.take() {
                Some(message) => {
                    if let Some(purge) = purge_of(message) {
                        self.on_purge_received(&mut discovery_clock, purge);
                    }
                }
                None => coroutine::park(),
            }
        }
    }

    /// Holds purges until the history of discovery is complete, then passes them to the callback.
    fn collect_backlog(&mut self) {
        let mut backlog = PurgeBacklog::new(self.purge_window);
        loop {
            if let Some(message) = self.mailbox.take() {
                if let Some(purge) = purge_of(message) {
                    backlog.hold(self.clock.now(), purge);
                }
                continue;
            }
            let has_received = self.status.read().last_received.is_some();
            if backlog.is_complete(self.clock.now(), has_received) {
                break;
            }
            timer::park(CATCH_UP_CHECK_INTERVAL);
        }
        if backlog.has_overflowed(self.clock.now()) {
            let purge = Purge::everything(PurgeTimestamp::Local(self.clock.now()));
            (self.on_purge)(ObservedPurge { purge, age: Duration::ZERO, is_backlog: false });
        }
        for held in backlog.take(self.clock.now()) {
            (self.on_purge)(ObservedPurge { purge: held.purge, age: held.age, is_backlog: true });
        }
    }

    fn on_purge_received(&mut self, discovery_clock: &mut DiscoveryClock, purge: Purge) {
        let apparent_age = purge.purged_at.age(self.clock);
        if apparent_age > self.purge_window + MAX_CLOCK_SKEW + MAX_DELIVERY_DELAY {
            return;
        }
        let age = discovery_clock.age(self.clock.now(), purge.purged_at.age(self.clock));
        (self.on_purge)(ObservedPurge { purge, age, is_backlog: false });
    }
}

fn purge_of(message: EndpointListMessage) -> Option<Purge> {
    match message {
        EndpointListMessage::Event(event) => event.purge.map(Purge::from),
        _ => None,
    }
}
