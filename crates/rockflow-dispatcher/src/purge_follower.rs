//! Follows a event board for its purges alone, for whoever passes them on.

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{DiscoveryClient, SharedDiscoveryStatus};
use crate::discovery_clock::DiscoveryClock;
use crate::mailbox::{Mailbox, Wake};
use crate::messages::{DiscoveryMessage, EndpointListMessage};
use crate::purge::{Purge, PurgeTimestamp};
use crate::purge_backlog::{PurgeBacklog, CLOCKS_APART, LOOK, TOLD_WITHIN};
use crate::service::{spawn, BIG_STACK};
use crate::timer;
use may::coroutine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A purge that the board told.
pub struct ObservedPurge {
    pub purge: Purge,
    pub age: Duration,
    /// It was among what the board said before.
    pub is_backlog: bool,
}

pub struct PurgeFollower {
    board: Arc<Mailbox<DiscoveryMessage>>,
    pub seen: Arc<SharedDiscoveryStatus>,
}

impl PurgeFollower {
    /// `heard` is called with every purge, in an actor of its own; it must not wait. A purge binds for so
    /// long: what is older than that by any clock is left, as a board tells its whole history to whoever begins. What is
    /// left of the history is held until the board has caught up.
    pub fn start(
        clock: Clock,
        told: &Config,
        binds: Duration,
        mut heard: impl FnMut(ObservedPurge) + Send + 'static,
    ) -> std::io::Result<PurgeFollower> {
        let mail: Arc<Mailbox<EndpointListMessage>> = Mailbox::new();
        let mut board = DiscoveryClient::new(clock, told, mail.clone());
        let follow = PurgeFollower { board: board.mail.clone(), seen: board.seen.clone() };
        let seen = board.seen.clone();
        spawn("board", BIG_STACK, move || board.run())?;
        spawn("purges", BIG_STACK, move || {
            mail.wake_by(Wake::Park(coroutine::current()));
            let mut backlog = Some(PurgeBacklog::new(binds));
            let mut board_clock = DiscoveryClock::new(binds, clock.now());
            loop {
                match mail.take() {
                    Some(EndpointListMessage::Event(event)) => {
                        if let Some(flush) = event.purge {
                            let purge = Purge::from(flush);
                            if let Some(backlog) = &mut backlog {
                                backlog.hold(clock.now(), purge);
                                continue;
                            }
                            if purge.purged_at.age(clock) > binds + CLOCKS_APART + TOLD_WITHIN {
                                continue;
                            }
                            let age = board_clock.age(clock.now(), purge.purged_at.age(clock));
                            heard(ObservedPurge { purge, age, is_backlog: false });
                        }
                    }
                    Some(_) => {}
                    None => match &mut backlog {
                        Some(held) => {
                            if !held.is_whole(clock.now(), seen.read().last_received.is_some()) {
                                timer::park(LOOK);
                                continue;
                            }
                            if held.is_overflown(clock.now()) {
                                let purge = Purge::everything(PurgeTimestamp::Local(clock.now()));
                                heard(ObservedPurge { purge, age: Duration::ZERO, is_backlog: false });
                            }
                            let held = held.take(clock.now()).into_iter();
                            held.for_each(|(purge, age)| {
                                heard(ObservedPurge { purge, age, is_backlog: true })
                            });
                            backlog = None;
                        }
                        None => coroutine::park(),
                    },
                }
            }
        })?;
        Ok(follow)
    }

    /// The board is at another address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        self.board.send_urgent(DiscoveryMessage::SetAddress(address));
    }
}
