//! A member's place in the tree, and when it asks a control node for it.

use crate::directory::Placement;
use std::time::Duration;

/// The longest backoff of a member without a place. Half of the control nodes may be out of reach, and they are tried
/// one after the other.
const MAX_JOIN_BACKOFF_HEARTBEATS: u32 = 2;
/// A member that the directory doesn't list asks again after this time.
const UNLISTED_JOIN_INTERVAL_HEARTBEATS: u32 = 16;
/// A member with a place asks again after this time.
const PLACEMENT_REFRESH_HEARTBEATS: u32 = 600;
/// After a change of the directory members ask within this time, at random, so that a region doesn't ask at once.
const REJOIN_SPREAD_HEARTBEATS: u32 = 4;
/// Answers from an earlier directory than the current place's that are ignored before one is accepted.
const MAX_STALE_ANSWERS: u32 = 3;

/// The listing that the parent uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Listing {
    /// Version of the directory.
    pub directory_version: u64,
    /// Hash of the region's listing.
    pub listing_hash: u32,
}

/// Whether an answer to a join has a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinAnswer {
    Placed,
    NotListed,
}

#[derive(Clone, Debug)]
pub(crate) struct JoinState {
    heartbeat_interval: Duration,
    due: Duration,
    backoff: Duration,
    attempts: u32,
    stale_answers: u32,
    /// Version of the directory that answered last.
    directory_version: u64,
    place: Option<Placement>,
    parent_listing: Listing,
}

impl JoinState {
    /// A member without a place.
    pub fn new(heartbeat_interval: Duration, now: Duration) -> JoinState {
        JoinState {
            heartbeat_interval,
            due: now,
            backoff: Duration::ZERO,
            attempts: 0,
            stale_answers: 0,
            directory_version: 0,
            place: None,
            parent_listing: Listing::default(),
        }
    }

    /// When to ask for a place.
    pub fn due(&self) -> Duration {
        self.due
    }

    /// Attempts since the last answer.
    pub fn attempts(&self) -> usize {
        self.attempts as usize
    }

    /// The version of the directory that the place is from.
    pub fn directory_version(&self) -> u64 {
        self.directory_version
    }

    /// The place in the tree; none: not listed, or not known yet.
    pub fn place(&self) -> Option<&Placement> {
        self.place.as_ref()
    }

    /// Sets the place in the tree.
    pub fn set_place(&mut self, place: Option<Placement>) {
        self.place = place;
    }

    /// What the parent says of whether this member is listed.
    pub fn parent_listing(&self) -> Listing {
        self.parent_listing
    }

    /// The member asks for a place now. `random` is from 0 to 1.
    pub fn on_attempt(&mut self, now: Duration, random: f64) {
        let interval = self.heartbeat_interval;
        self.backoff = (self.backoff * 2).clamp(interval, interval * MAX_JOIN_BACKOFF_HEARTBEATS);
        self.due = now + self.backoff.mul_f64(1.0 - random / 2.0);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Returns whether an answer is to be accepted: a few from an earlier directory are not.
    pub fn accepts(&mut self, directory_version: u64) -> bool {
        if directory_version < self.directory_version && self.stale_answers < MAX_STALE_ANSWERS {
            self.stale_answers += 1;
            return false;
        }
        self.stale_answers = 0;
        self.directory_version = directory_version;
        true
    }

    /// An answer was accepted: the next attempt is much later. `random` is from 0 to 1.
    pub fn on_answer(&mut self, now: Duration, answer: JoinAnswer, random: f64) {
        let heartbeats = match answer {
            JoinAnswer::Placed => PLACEMENT_REFRESH_HEARTBEATS,
            JoinAnswer::NotListed => UNLISTED_JOIN_INTERVAL_HEARTBEATS,
        };
        self.backoff = Duration::ZERO;
        self.attempts = 0;
        self.due = now + (self.heartbeat_interval * heartbeats).mul_f64(0.75 + random / 2.0);
    }

    /// The parent uses this listing, whatever its version: children placed by an earlier directory would ask
    /// without end otherwise. Returns whether the member's place has changed by it, and it is to ask soon.
    pub fn on_parent_listing(&mut self, now: Duration, listing: Listing) -> bool {
        self.parent_listing = listing;
        let own_hash = self.place.as_ref().map(|place| place.listing_hash);
        let is_newer = listing.directory_version > self.directory_version;
        let spread = self.heartbeat_interval * REJOIN_SPREAD_HEARTBEATS;
        is_newer && own_hash != Some(listing.listing_hash) && self.due > now + spread
    }

    /// Asks soon, at a random time. `random` is from 0 to 1.
    pub fn ask_soon(&mut self, now: Duration, random: f64) {
        self.due = now + (self.heartbeat_interval * REJOIN_SPREAD_HEARTBEATS).mul_f64(random);
    }
}
