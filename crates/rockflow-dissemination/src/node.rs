//! A node put together: one machine, driven by frames of others, words of its caller, and time.

use crate::children::{Children, MAX_CHILDREN, MAX_CONTROL_CHILDREN};
use crate::control::Control;
use crate::directory::Directory;
use crate::following::Following;
use crate::joining::Joining;
use crate::made::Made;
use crate::messages::Message;
use crate::outs::*;
use crate::pace::Pace;
use crate::settings::{KeptApart, WantedHosts};
use crate::streams::{Streams, MAX_CONTROL};
use crate::tables::Tables;
use crate::tickets::Tickets;
use crate::words::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// An ack at least every so many pulses; after one where something changed.
pub(crate) const ACK: u32 = 2;
/// A child counts for so many pulses after its ack.
const KEEP: u32 = 10;
/// Repairs take this share of the bytes a second, whole tables of settings that one.
const REPAIRS: u64 = 2;
const TABLES: u64 = 4;
/// Repairs that were not used up are kept for so long.
const BURST: Duration = Duration::from_secs(10);
/// What a control node sends goes by so many times a member's bytes.
const CONTROL_SHARE: u64 = 64;
/// Who comes later than this to what was due, in pulses, stood still meanwhile.
const LATE: u32 = 2;

/// A member or control node, without I/O. Time is told as the time since any one moment, the same for all calls, and
/// doesn't go back; what does is taken for no time at all.
pub struct Node {
    pub(crate) told: Told,
    pub(crate) chance: oorandom::Rand64,
    pub(crate) started: Duration,
    now: Duration,
    due: Duration,
    /// Until then what is heard may have waited unread for long.
    pub(crate) blurred: Duration,
    pub(crate) streams: Streams,
    pub(crate) hosts: WantedHosts,
    pub(crate) apart: KeptApart,
    pub(crate) tables: Tables,
    pub(crate) purge_tickets: Tickets,
    pub(crate) setting_tickets: Tickets,
    tickets: u64,
    pub(crate) children: Children,
    pub(crate) following: Following,
    pub(crate) joining: Joining,
    pub(crate) control: Option<Control>,
    pub(crate) repairs: Pace,
    pub(crate) table_pace: Pace,
    /// When a control node made the newest pulse that was heard by way of parents.
    pub(crate) basis: Option<Made>,
    /// Since when fresh pulses come without a break, and when the last came.
    pub(crate) in_touch: (Duration, Option<Duration>),
    pub(crate) pulsed: Duration,
    pub(crate) pulses: u64,
    pub(crate) acked: Duration,
    pub(crate) ack_soon: bool,
    pub(crate) stopped: bool,
    pub(crate) counts: Counts,
    pub(crate) outs: Vec<Out>,
    /// What this call has brought: to be put in effect, to be judged, to be passed on, and streams that moved.
    pub(crate) effects: Vec<(Purge, Made)>,
    pub(crate) changed: Vec<(EntryId, String)>,
    pub(crate) fresh: BTreeMap<StreamId, BTreeSet<Number>>,
    /// Other contents under numbers that are held: to be passed on as they came.
    pub(crate) forked: Vec<(StreamId, Number, Made, Entry)>,
    pub(crate) touched: BTreeSet<StreamId>,
}

impl Node {
    /// `directory`: at a control node, where there is one yet. `seed`: all chance comes from it.
    pub fn new(mut told: Told, directory: Option<Directory>, seed: u64, now: Duration) -> Node {
        told.control.truncate(MAX_CONTROL);
        told.pulse = told.pulse.max(Duration::from_millis(1));
        let control = told.control_id.map(|id| Control::new(id, directory, &told, now));
        let (most, share) = match control {
            Some(_) => (MAX_CONTROL_CHILDREN, CONTROL_SHARE),
            None => (MAX_CHILDREN, 1),
        };
        let rate = u64::from(told.bytes_per_second) * share;
        let pulse = told.pulse;
        Node {
            chance: oorandom::Rand64::new(u128::from(seed)),
            started: now,
            now,
            due: now,
            blurred: now,
            streams: Streams::new(told.control.len()),
            hosts: WantedHosts::default(),
            apart: KeptApart::default(),
            tables: Tables::new(pulse),
            purge_tickets: Tickets::default(),
            setting_tickets: Tickets::default(),
            tickets: 0,
            children: Children::new(most, pulse * KEEP),
            following: Following::new(pulse, now),
            joining: Joining::new(now),
            control,
            repairs: Pace::new(rate / REPAIRS, BURST, now),
            table_pace: Pace::new(rate / TABLES, BURST, now),
            basis: None,
            in_touch: (now, None),
            pulsed: now,
            pulses: 0,
            acked: now,
            ack_soon: false,
            stopped: false,
            counts: Counts::default(),
            outs: Vec::new(),
            effects: Vec::new(),
            changed: Vec::new(),
            fresh: BTreeMap::new(),
            forked: Vec::new(),
            touched: BTreeSet::new(),
            told,
        }
    }

    /// To be called once, before all else.
    pub fn start(&mut self, now: Duration) -> Vec<Out> {
        self.due = now;
        self.tick(now)
    }

    /// A frame came, judged by its decoder and of a known sender.
    pub fn hear(&mut self, now: Duration, from: Identity, at: SocketAddr, message: Message) -> Vec<Out> {
        let now = self.enter(now);
        if from.node == self.told.me.node || self.stopped {
            return Vec::new();
        }
        self.counts.frames_in.count(&message);
        self.heard_of_control(now, from, at);
        match message {
            Message::Join { .. } => self.asked_for_a_place(now, at, from.node),
            Message::Near { directory, near, region, slot, slots, parents } => {
                let place = crate::directory::Placement { region, slot, slots, near, parents };
                self.placed(now, from, directory, place);
            }
            Message::Unknown { directory } => self.not_placed(now, from, directory),
            Message::Ack { has, reports } => self.acked_by(now, from, at, has, reports),
            Message::Leave => {
                if self.children.leave(from) {
                    self.ack_soon = true;
                }
            }
            Message::Full => self.turned_away(now, from.node, at),
            Message::Pulse { stale_ms, directory, near, tips, settings } => {
                self.pulse(now, (from, at), stale_ms, (directory, near), tips, settings);
            }
            Message::Batch { stream, first, entries } => self.batch(now, at, stream, first, entries),
            Message::Ask { stream, ranges } => self.asked(now, at, stream, ranges),
            Message::Snapshot { stream, next, floor_age_ms } => {
                self.snapshot(now, (from, at), stream, next, floor_age_ms);
            }
            Message::WantSettings { part } => self.send_settings(now, at, part),
            Message::Settings { digest, part, parts, settings } => {
                self.settings(now, from, (digest, part, parts), settings);
            }
            Message::Rows { directory, clock, rows } => self.rows(now, from, directory, clock, rows),
            Message::Outlived { control, incarnation } => self.outlived(now, control, incarnation),
            Message::Probe => self.probed(now, from, at),
            Message::Fresh { stale_ms } => self.answered(now, from, at, stale_ms),
        }
        self.finish(now, Some(at))
    }

    /// To be called at `next_due`, or later.
    pub fn tick(&mut self, now: Duration) -> Vec<Out> {
        let now = self.enter(now);
        if self.stopped {
            return Vec::new();
        }
        if self.children.expire(now) {
            self.ack_soon = true;
        }
        self.retire(now);
        self.give_up(now);
        self.follow(now);
        self.ask(now);
        if let Some((to, message)) = self.tables.tick(now) {
            self.send(to, message);
        }
        self.control_tick(now);
        self.pulse_tick(now);
        self.ack_tick(now);
        self.finish(now, None)
    }

    /// When `tick` is to be called at the latest.
    pub fn next_due(&self) -> Duration {
        self.due
    }

    /// The dispatcher goes by what was given under this ticket: purges, floors, and settings that it did not refuse.
    pub fn in_effect(&mut self, now: Duration, ticket: Ticket) -> Vec<Out> {
        let now = self.enter(now);
        self.purge_tickets.confirm(ticket);
        if self.setting_tickets.confirm_up_to(ticket) {
            self.apart.judged(ticket);
        }
        self.finish(now, None)
    }

    /// A setting can't be put in force here. It is reported, and judged again when another changes.
    pub fn refuse(&mut self, now: Duration, id: EntryId, why: Refusal) -> Vec<Out> {
        let now = self.enter(now);
        if let Some(host) = self.hosts.host_of(id) {
            self.counts.refused += 1;
            self.apart.refuse(id, host, why);
            self.ack_soon = true;
        }
        self.setting_tickets.refused(id);
        self.finish(now, None)
    }

    /// The node ends; nothing is done by it any more.
    pub fn stop(&mut self, now: Duration) -> Vec<Out> {
        self.enter(now);
        if let Some(parent) = self.following.parent() {
            self.send(parent.address, Message::Leave);
        }
        self.stopped = true;
        self.due = Duration::MAX;
        std::mem::take(&mut self.outs)
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        self.counts.frames_out.count(&message);
        self.outs.push(Out::Send { to, message });
    }

    pub(crate) fn share(&mut self) -> f64 {
        self.chance.rand_float()
    }

    pub(crate) fn next_ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Time goes on; where it has leapt, this process stood still.
    pub(crate) fn enter(&mut self, now: Duration) -> Duration {
        let now = now.max(self.now);
        let late = now.saturating_sub(self.due.max(self.now));
        self.now = now;
        if late > self.told.pulse * LATE {
            self.counts.stood_still += 1;
            self.blurred = now + self.told.pulse;
            self.due = now;
            self.following.stood_still(late);
            self.in_touch.1 = None;
            for stream in self.streams.iter_mut() {
                stream.stood_still(late);
            }
            self.children.forget_reports();
            if let Some(control) = &mut self.control {
                control.stood_still(late);
            }
        }
        now
    }

    /// Puts out what a call has brought, and sets when the next tick is due.
    pub(crate) fn finish(&mut self, now: Duration, but: Option<SocketAddr>) -> Vec<Out> {
        self.pass_on(now, but);
        self.tend_streams(now);
        self.emit_purges(now);
        self.emit_settings();
        self.settle();
        self.due = self.soonest(now);
        std::mem::take(&mut self.outs)
    }

    fn soonest(&self, now: Duration) -> Duration {
        let pulse = self.told.pulse;
        let asks = self.streams.iter().filter_map(|stream| stream.ask_due).min();
        let follows = self.control.is_none();
        let ack = match self.ack_soon {
            true => self.acked + pulse,
            false => self.acked + pulse * ACK,
        };
        let own = match &self.control {
            Some(control) => control.pulse_due,
            None => self.pulsed + pulse * 3 / 2,
        };
        let dues = [
            Some(now + pulse),
            Some(own),
            asks,
            self.tables.next_due(),
            follows.then_some(ack),
            follows.then_some(self.joining.due),
            self.following.next_due(),
        ];
        dues.into_iter().flatten().min().unwrap_or(now).max(now)
    }
}
