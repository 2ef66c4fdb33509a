//! What only a control node does: it numbers and publishes, places members, and knows what is in force everywhere.

use crate::directory::Directory;
use crate::everywhere::{frames, Everywhere};
use crate::messages::{Message, Report, Row};
use crate::node::Node;
use crate::outs::Out;
use crate::pace::Pace;
use crate::reports;
use crate::settings::MAX_HEARD;
use crate::sizes;
use crate::words::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Publications leave by one part of a member's bytes a second in so many, as each member passes them on.
const ENTRY_SHARE: u32 = 6;
/// Of that, changes have one part in so many to themselves. The rest carries the target's purges.
const CHANGES_SHARE: u32 = 6;
/// What was not used of it is kept for so long.
const BURST: Duration = Duration::from_secs(30);
/// A control node that is silent for so many pulses is not counted on.
const SILENT: u32 = 6;
/// Reports count for so many pulses.
const KEEP: u32 = 10;
/// Entries told one by one as in force everywhere; of more at once, the last of them.
const MAX_TOLD: u64 = 128;

pub(crate) struct Control {
    pub me: ControlId,
    pub life: Incarnation,
    /// When it began that life above one that was known of it elsewhere.
    pub begun_again: Option<Duration>,
    peers: Vec<Peer>,
    pulse: Duration,
    /// Unix milliseconds at the start of this process, by its own clock, and the moment of it.
    began: (u64, Duration),
    clock: u64,
    pub directory: Option<Directory>,
    pub everywhere: Everywhere,
    pub sent: BTreeMap<Kind, Number>,
    /// The last of its own purges that a tip told of.
    pub purges_told: Number,
    pub pace: Pace,
    pub changes_pace: Pace,
    heard: Vec<Duration>,
    pub pulse_due: Duration,
}

impl Control {
    pub fn new(me: ControlId, directory: Option<Directory>, told: &Told, now: Duration) -> Control {
        let rate = u64::from(told.bytes_per_second / ENTRY_SHARE);
        Control {
            me,
            life: Incarnation(told.me.incarnation.0.min(MAX_HEARD)),
            begun_again: None,
            peers: told.control.clone(),
            pulse: told.pulse,
            began: (told.me.incarnation.0.min(MAX_HEARD), now),
            clock: 0,
            directory,
            everywhere: Everywhere::default(),
            sent: BTreeMap::new(),
            purges_told: Number::default(),
            pace: Pace::new(rate, BURST, now),
            changes_pace: Pace::new(rate / u64::from(CHANGES_SHARE), BURST, now),
            heard: vec![now; told.control.len()],
            pulse_due: now,
        }
    }

    pub fn stream(&self, kind: Kind) -> StreamId {
        StreamId { control: self.me, kind, incarnation: self.life }
    }

    pub fn is_own(&self, id: StreamId) -> bool {
        id.control == self.me && id.incarnation == self.life
    }

    pub fn version(&self) -> u64 {
        self.directory.as_ref().map_or(0, |directory| directory.version)
    }

    /// The listing by which a member's slots are counted.
    pub fn near(&self, node: NodeId) -> u32 {
        let Some(directory) = &self.directory else { return 0 };
        let region =
            directory.slot(node).and_then(|(region, _)| directory.regions().get(usize::from(region)));
        region.map_or(0, |region| region.near)
    }

    pub fn heard_clock(&mut self, at: u64) {
        if at <= MAX_HEARD {
            self.clock = self.clock.max(at);
        }
    }

    /// Above all that was published here, and above the version that it replaces.
    pub fn stamp(&mut self, now: Duration, seen: Stamp) -> Stamp {
        let gone = u64::try_from(now.saturating_sub(self.began.1).as_millis()).unwrap_or(u64::MAX);
        self.clock = self.began.0.saturating_add(gone).max(self.clock.saturating_add(1));
        Stamp { at: self.clock.max(seen.at.saturating_add(1)), control: self.me.0 }
    }

    pub fn stood_still(&mut self, span: Duration) {
        for heard in &mut self.heard {
            *heard = heard.saturating_add(span);
        }
        self.everywhere.forget_rows();
    }

    fn is_alive(&self, now: Duration, place: usize) -> bool {
        let heard = self.heard.get(place).copied();
        heard.is_some_and(|heard| now.saturating_sub(heard) <= self.pulse * SILENT)
    }

    /// Its publisher, who showed that there is more, and the others in turn.
    pub fn whom_to_ask(&self, id: StreamId, shown_by: Option<SocketAddr>, turn: usize) -> Option<SocketAddr> {
        let me = usize::from(self.me.0);
        let place = usize::from(id.control.0);
        let publisher = self.peers.get(place).filter(|_| place != me).map(|peer| peer.address);
        let others = || self.peers.iter().enumerate().filter(|(place, _)| *place != me);
        let count = others().count().max(1);
        let other = others().nth((turn / 3) % count).map(|(_, peer)| peer.address);
        match turn % 3 {
            0 => shown_by.or(publisher),
            1 => publisher.or(shown_by),
            _ => other.or(shown_by),
        }
    }
}

impl Node {
    /// Place of a control node in the told list.
    pub(crate) fn control_at(&self, node: NodeId) -> Option<usize> {
        self.told.control.iter().position(|peer| peer.node == node)
    }

    pub(crate) fn other_control(&self) -> Vec<SocketAddr> {
        if self.control.is_none() {
            return Vec::new();
        }
        let others = self.told.control.iter().filter(|peer| peer.node != self.told.me.node);
        others.map(|peer| peer.address).collect()
    }

    /// A frame of a control node: it is alive; and where a later life of it is known here, it is told.
    pub(crate) fn heard_of_control(&mut self, now: Duration, from: Identity, at: SocketAddr) {
        let Some(place) = self.control_at(from.node) else { return };
        if let Some(heard) = self.control.as_mut().and_then(|control| control.heard.get_mut(place)) {
            *heard = (*heard).max(now);
        }
        let id = ControlId(place as u8);
        let later = self.streams.latest_life(id).filter(|life| *life > from.incarnation);
        if let Some(incarnation) = later {
            self.send(at, Message::Outlived { control: id, incarnation });
        }
    }

    /// Whether it is this control node's to publish what the board says: the first by place that is alive.
    pub fn publishing(&self, now: Duration) -> bool {
        let Some(control) = &self.control else { return false };
        (0..usize::from(control.me.0)).all(|place| !control.is_alive(now, place))
    }

    pub(crate) fn control_tick(&mut self, now: Duration) {
        let pulse = self.told.pulse;
        match &mut self.control {
            Some(control) if now >= control.pulse_due => control.pulse_due = now + pulse,
            _ => return,
        }
        self.gather(now);
        self.send_pulses(now);
        self.send_rows(now);
        self.judge_everywhere(now);
    }

    /// What the children here say, joined by region and listing, each with the age of the oldest of it.
    pub(crate) fn direct(&self, now: Duration) -> Vec<(Report, u32)> {
        let lag = |id, number| self.lag(id, number);
        let (joined, _) = reports::join(self.children.reports(), &lag, usize::MAX);
        let mut oldest: BTreeMap<(u16, u32), Duration> = BTreeMap::new();
        for child in self.children.iter() {
            for report in &child.reports {
                let age = oldest.entry((report.region, report.near)).or_default();
                *age = (*age).max(now.saturating_sub(child.heard));
            }
        }
        let age = |report: &Report| oldest.get(&(report.region, report.near)).copied().unwrap_or_default();
        let age_ms = |report: &Report| u32::try_from(age(report).as_millis()).unwrap_or(u32::MAX);
        let aged = joined.into_iter().map(|report| {
            let age = age_ms(&report);
            (report, age)
        });
        aged.collect()
    }

    fn send_rows(&mut self, now: Duration) {
        let others = self.other_control();
        let Some(control) = &self.control else { return };
        let clock = Stamp { at: control.clock, control: control.me.0 };
        let directory = control.version();
        let listed = |report: &Report| {
            let regions = control.directory.as_ref().map_or(&[][..], |directory| directory.regions());
            regions.get(usize::from(report.region)).is_some_and(|region| region.near == report.near)
        };
        let rows = self.direct(now).into_iter().filter(|(report, _)| listed(report));
        let rows: Vec<Row> = rows.map(|(report, age_ms)| Row { report, age_ms }).collect();
        let mut frames = frames(rows);
        if frames.is_empty() {
            // The clock goes on, whatever is heard of members.
            frames.push(Vec::new());
        }
        for to in others {
            for rows in &frames {
                self.send(to, Message::Rows { directory, clock, rows: rows.clone() });
            }
        }
    }

    pub(crate) fn rows(
        &mut self,
        now: Duration,
        from: Identity,
        _directory: u64,
        clock: Stamp,
        rows: Vec<Row>,
    ) {
        let place = self.control_at(from.node);
        let blurred = now < self.blurred;
        let (Some(control), Some(place)) = (&mut self.control, place) else {
            self.counts.out_of_place += 1;
            return;
        };
        control.heard_clock(clock.at);
        let Some(directory) = control.directory.as_ref().filter(|_| !blurred) else { return };
        for row in rows.into_iter().take(crate::messages::MAX_ROWS) {
            control.everywhere.hear(now, ControlId(place as u8), row, directory, &mut self.counts);
        }
    }

    fn judge_everywhere(&mut self, now: Duration) {
        let direct: Vec<Report> = self.direct(now).into_iter().map(|(report, _)| report).collect();
        let Some(mut control) = self.control.take() else { return };
        control.everywhere.expire(now, self.told.pulse * KEEP);
        if let Some(directory) = &control.directory {
            let lag = |id, number| self.lag(id, number);
            let news = control.everywhere.judge(directory, &direct, &lag);
            for (id, before, to) in news {
                self.tell_everywhere(now, id, before, to);
            }
        }
        control.everywhere.keep(|id| self.streams.get(id).is_some());
        self.control = Some(control);
    }

    fn tell_everywhere(&mut self, now: Duration, id: StreamId, before: Number, to: Number) {
        let Some(stream) = self.streams.get(id) else { return };
        let from = before.next().max(Number(to.0.saturating_sub(MAX_TOLD - 1)));
        for number in (from.0..=to.0).map(Number) {
            if let Some(held) = stream.get(number) {
                let after = held.made.age(now);
                self.outs.push(Out::Everywhere { stream: id, number, after });
            }
        }
        // The log has let it go: of all that it let go the newest tells how long it took at the least.
        if let Some(before) = stream.before.filter(|_| stream.get(to).is_none()) {
            self.outs.push(Out::Everywhere { stream: id, number: to, after: before.age(now) });
        }
    }

    /// Takes another directory. Places go by it at once; members hear of it by the pulses.
    pub fn set_directory(&mut self, now: Duration, directory: Directory) -> Vec<Out> {
        let now = self.enter(now);
        if let Some(control) = &mut self.control {
            control.everywhere.forget_rows();
            control.directory = Some(directory);
        }
        self.finish(now, None)
    }

    pub(crate) fn asked_for_a_place(&mut self, now: Duration, at: SocketAddr, node: NodeId) {
        let Some(directory) = self.control.as_ref().and_then(|control| control.directory.as_ref()) else {
            self.counts.out_of_place += 1;
            return;
        };
        if !self.repairs.open(now) {
            self.counts.repairs_held_back += 1;
            return;
        }
        let version = directory.version;
        let answer = match directory.place(node, &self.told.control) {
            Some(place) => Message::Near {
                directory: version,
                near: place.near,
                region: place.region,
                slot: place.slot,
                slots: place.slots,
                parents: place.parents,
            },
            None => Message::Unknown { directory: version },
        };
        self.repairs.take(sizes::message(&answer));
        self.send(at, answer);
    }
}
