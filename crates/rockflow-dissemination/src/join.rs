//! A member's place in the tree, and when it sends join requests for it to control nodes.

use crate::directory::Placement;
use std::time::Duration;

/// The longest interval between join requests that are not answered. It is short because half of the control nodes may
/// be unreachable, and the member tries them one after the other.
const MAX_JOIN_BACKOFF_HEARTBEATS: u32 = 2;
/// The interval at which a member that the directory doesn't list asks again.
const UNLISTED_JOIN_INTERVAL_HEARTBEATS: u32 = 16;
/// The interval at which a member with a place asks again.
const PLACEMENT_REFRESH_HEARTBEATS: u32 = 600;
/// After a change of the directory each member asks at a random time within this span, so that the members of a region
/// don't all ask at once.
const REJOIN_SPREAD_HEARTBEATS: u32 = 4;
/// Consecutive answers from an earlier version of the directory than the last accepted one that are ignored before such
/// an answer is accepted.
const MAX_STALE_ANSWERS: u32 = 3;

/// The region's listing that a parent names in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Listing {
    /// Version of the directory that has the listing.
    pub directory_version: u64,
    /// Hash of the listing.
    pub listing_hash: u32,
}

/// How a control node answered a join request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinAnswer {
    Placed,
    NotListed,
}

/// A member's place and the schedule of its join requests.
#[derive(Clone, Debug)]
pub(crate) struct JoinState {
    heartbeat_interval: Duration,
    /// When the next join request is due.
    due: Duration,
    /// The interval before random jitter; zero after an accepted answer.
    backoff: Duration,
    /// Join requests since the last accepted answer.
    attempts: u32,
    /// Consecutive answers that were ignored as stale.
    stale_answers: u32,
    /// Version of the directory in the last accepted answer; 0 before the first.
    directory_version: u64,
    place: Option<Placement>,
    parent_listing: Listing,
}

impl JoinState {
    /// A member without a place, whose first join request is due at once.
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

    /// When the next join request is due.
    pub fn due(&self) -> Duration {
        self.due
    }

    /// Join requests since the last accepted answer.
    pub fn attempts(&self) -> usize {
        self.attempts as usize
    }

    /// Version of the directory in the last accepted answer; 0 before the first.
    pub fn directory_version(&self) -> u64 {
        self.directory_version
    }

    /// The place in the tree. `None`: not listed, not known yet, or the answer was out of range.
    pub fn place(&self) -> Option<&Placement> {
        self.place.as_ref()
    }

    /// Sets the place that a control node has assigned; `None` if it assigned none.
    pub fn set_place(&mut self, place: Option<Placement>) {
        self.place = place;
    }

    /// The listing in the parent's latest heartbeat; version 0 before the first.
    pub fn parent_listing(&self) -> Listing {
        self.parent_listing
    }

    /// Records that a join request is sent now, and schedules the next one with backoff. `random` is from 0 to 1.
    pub fn on_attempt(&mut self, now: Duration, random: f64) {
        let interval = self.heartbeat_interval;
        self.backoff = (self.backoff * 2).clamp(interval, interval * MAX_JOIN_BACKOFF_HEARTBEATS);
        self.due = now + self.backoff.mul_f64(1.0 - random / 2.0);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Decides whether an answer from this version of the directory is accepted. An earlier version than that of the
    /// last accepted answer is ignored, but at most [`MAX_STALE_ANSWERS`] times in succession.
    pub fn accepts(&mut self, directory_version: u64) -> bool {
        if directory_version < self.directory_version && self.stale_answers < MAX_STALE_ANSWERS {
            self.stale_answers += 1;
            return false;
        }
        self.stale_answers = 0;
        self.directory_version = directory_version;
        true
    }

    /// Records an accepted answer, and schedules the next join request after a longer interval. `random` is from 0 to
    /// 1.
    pub fn on_answer(&mut self, now: Duration, answer: JoinAnswer, random: f64) {
        let heartbeats = match answer {
            JoinAnswer::Placed => PLACEMENT_REFRESH_HEARTBEATS,
            JoinAnswer::NotListed => UNLISTED_JOIN_INTERVAL_HEARTBEATS,
        };
        self.backoff = Duration::ZERO;
        self.attempts = 0;
        self.due = now + (self.heartbeat_interval * heartbeats).mul_f64(0.75 + random / 2.0);
    }

    /// Records the listing in the parent's heartbeat. Even one of an earlier version is recorded, and so passed on to
    /// the children: children that an earlier directory placed would otherwise ask again and again. Returns whether
    /// the member is to ask soon: a newer directory has changed its region, and its next join request is not due soon
    /// anyway.
    pub fn on_parent_listing(&mut self, now: Duration, listing: Listing) -> bool {
        self.parent_listing = listing;
        let placed_by_hash = self.place.as_ref().map(|place| place.listing_hash);
        let is_newer = listing.directory_version > self.directory_version;
        let spread = self.heartbeat_interval * REJOIN_SPREAD_HEARTBEATS;
        is_newer && placed_by_hash != Some(listing.listing_hash) && self.due > now + spread
    }

    /// Schedules the next join request at a random time soon. `random` is from 0 to 1.
    pub fn ask_soon(&mut self, now: Duration, random: f64) {
        self.due = now + (self.heartbeat_interval * REJOIN_SPREAD_HEARTBEATS).mul_f64(random);
    }
}
