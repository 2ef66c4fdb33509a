//! A member's way to its place, and to those it may follow.

use crate::directory::Placement;
use crate::following::{Candidate, Step};
use crate::made::Made;
use crate::messages::{Message, MAX_PARENTS, MAX_SLOTS};
use crate::node::Node;
use crate::words::{Identity, NodeId};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest wait of one without a place, in pulses. Half of control may be out of reach, asked one after the other, and it hears
/// of nothing meanwhile.
const MAX_WAIT: u32 = 2;
/// One that the directory doesn't name asks anew after so many.
const UNNAMED: u32 = 16;
/// A place is asked for anew every so many pulses, whatever is heard.
const REFRESH: u32 = 600;
/// A changed place is asked for within so many pulses, by chance, so that a region doesn't ask at once.
const SPREAD: u32 = 4;
/// Answers by an earlier directory than the place held that are passed over, before one is taken.
const EARLIER: u32 = 3;

#[derive(Clone, Debug)]
pub(crate) struct Joining {
    pub due: Duration,
    wait: Duration,
    asked: u32,
    earlier: u32,
    /// By which directory this node was placed or found unknown last.
    pub directory: u64,
    pub place: Option<Placement>,
    /// What the parent's pulses say: version of the directory, and of the region's listing.
    pub heard: (u64, u32),
}

impl Joining {
    pub fn new(now: Duration) -> Joining {
        let wait = Duration::ZERO;
        Joining { due: now, wait, asked: 0, earlier: 0, directory: 0, place: None, heard: (0, 0) }
    }
}

impl Node {
    /// Who follows whom, and who asks for a place.
    pub(crate) fn follow(&mut self, now: Duration) {
        if self.control.is_some() {
            return;
        }
        if now >= self.joining.due {
            self.join(now);
        }
        for asked in self.following.doubts(now) {
            self.send(asked.address, Message::Probe);
        }
        let share = self.share();
        let step = self.following.tick(now, share);
        self.step(now, step);
    }

    /// One whose parent is in doubt asks. Where there is no room, or nothing was heard of control, it gets no answer.
    pub(crate) fn probed(&mut self, now: Duration, from: Identity, at: SocketAddr) {
        let stale_ms = self.stale_ms(now);
        if stale_ms < u32::MAX && self.children.has_room_for(from.node) {
            self.send(at, Message::Fresh { stale_ms });
        }
    }

    pub(crate) fn answered(&mut self, now: Duration, from: Identity, at: SocketAddr, stale_ms: u32) {
        if now < self.blurred {
            return;
        }
        let step = self.following.answered(now, from.node, at, Made::ms_ago(now, stale_ms));
        self.step(now, step);
    }

    fn join(&mut self, now: Duration) {
        let (pulse, share) = (self.told.pulse, self.share());
        let count = self.told.control.len();
        let joining = &mut self.joining;
        joining.wait = (joining.wait * 2).clamp(pulse, pulse * MAX_WAIT);
        joining.due = now + joining.wait.mul_f64(1.0 - share / 2.0);
        joining.asked = joining.asked.saturating_add(1);
        let directory = joining.directory;
        let in_vain = joining.asked as usize > 2 * count.max(1);
        if count > 0 {
            // Begins with another for each node, so that they don't all ask the first.
            let turn = (self.told.me.node.0 as usize).wrapping_add(self.joining.asked as usize) % count;
            self.send(self.told.control[turn].address, Message::Join { directory });
        }
        if in_vain && self.following.candidates().is_empty() {
            let seeds = self.told.seeds.iter().take(MAX_PARENTS);
            let seeds = seeds.map(|address| Candidate { node: None, address: *address }).collect();
            self.candidates(now, seeds);
        }
    }

    fn candidates(&mut self, now: Duration, candidates: Vec<Candidate>) {
        let before = self.following.parent();
        let is_control = |other: &Candidate| other.node.is_some_and(|node| self.of_control(node));
        let above = candidates.iter().filter(|other| !is_control(other)).count() as u32;
        let left = self.following.set(now, candidates, above);
        if self.following.parent() != before {
            self.turned(now, left);
        }
    }

    /// Another parent: it is told at once, and the one before too.
    fn turned(&mut self, now: Duration, left: Option<Candidate>) {
        self.counts.parent_changes += 1;
        self.tables.turned();
        if let Some(left) = left {
            self.send(left.address, Message::Leave);
        }
        self.ack(now);
    }

    fn step(&mut self, now: Duration, step: Step) {
        match step {
            Step::Stay => {}
            Step::Turn { from } => self.turned(now, Some(from)),
            Step::TryFirst(first) => {
                let ack = self.own_ack(now);
                self.send(first.address, ack);
            }
        }
    }

    pub(crate) fn step_after_pulse(&mut self, now: Duration, left: Candidate) {
        self.turned(now, Some(left));
    }

    pub(crate) fn turned_away(&mut self, now: Duration, node: NodeId, at: SocketAddr) {
        let share = self.share();
        let step = self.following.full(now, node, at, share);
        self.step(now, step);
    }

    fn of_control(&self, node: NodeId) -> bool {
        self.told.control.iter().any(|peer| peer.node == node)
    }

    /// Whether an answer by this directory is to be taken.
    fn is_current(&mut self, from: Identity, directory: u64) -> bool {
        if self.control.is_some() || !self.of_control(from.node) {
            self.counts.out_of_place += 1;
            return false;
        }
        if directory < self.joining.directory && self.joining.earlier < EARLIER {
            self.joining.earlier += 1;
            return false;
        }
        self.joining.earlier = 0;
        self.joining.directory = directory;
        true
    }

    fn rest(&mut self, now: Duration, pulses: u32) {
        let share = self.share();
        self.joining.wait = Duration::ZERO;
        self.joining.asked = 0;
        self.joining.due = now + (self.told.pulse * pulses).mul_f64(0.75 + share / 2.0);
    }

    pub(crate) fn placed(&mut self, now: Duration, from: Identity, directory: u64, mut place: Placement) {
        if !self.is_current(from, directory) {
            return;
        }
        place.parents.truncate(MAX_PARENTS);
        let me = self.told.me.node;
        let candidates = place.parents.iter().filter(|peer| peer.node != me);
        let candidates: Vec<Candidate> = candidates.map(|peer| Candidate::from(*peer)).collect();
        let fits = place.slot < place.slots && usize::from(place.slots) <= MAX_SLOTS;
        self.rest(now, REFRESH);
        self.joining.place = fits.then_some(place);
        self.ack_soon = true;
        self.candidates(now, candidates);
    }

    /// The directory doesn't name this node: it follows control nodes, and counts nowhere.
    pub(crate) fn not_placed(&mut self, now: Duration, from: Identity, directory: u64) {
        if !self.is_current(from, directory) {
            return;
        }
        self.rest(now, UNNAMED);
        self.joining.place = None;
        let control = &self.told.control;
        let first = control.iter().position(|peer| peer.node == from.node).unwrap_or(0);
        let turned = control.iter().cycle().skip(first).take(control.len().min(MAX_PARENTS));
        let candidates: Vec<Candidate> = turned.map(|peer| Candidate::from(*peer)).collect();
        let stays = self.following.parent().is_some_and(|parent| candidates.contains(&parent));
        if !stays {
            self.candidates(now, candidates);
        }
    }

    /// What the parent's pulse says of the directory and of the region's listing.
    pub(crate) fn heard_of_listing(&mut self, now: Duration, directory: u64, near: u32) {
        // Whatever its version: children placed by an earlier directory would ask without end otherwise.
        self.joining.heard = (directory, near);
        let mine = self.joining.place.as_ref().map(|place| place.near);
        let soon = now + self.told.pulse * SPREAD;
        if directory > self.joining.directory && mine != Some(near) && self.joining.due > soon {
            let share = self.share();
            self.joining.due = now + (self.told.pulse * SPREAD).mul_f64(share);
        }
    }
}
