//! Handling of events, transmission of frames and application by members.

use super::{
    FleetEvent, ReceivedState, World, BUFFER_OVERHEAD, MAX_EXTRA_DELAY, ORDINARY_FAULT_SHARE, SOCKET_BUFFER,
    TABLE_CHECK_INTERVAL,
};
use crate::slopes::measure::processor;
use crate::virtual_fleet::checker::Violation;
use crate::virtual_fleet::layout::Layout;
use crate::virtual_fleet::wire;
use rockflow_dissemination::{
    ApplyToken, DesiredState, Identity, Message, Node, Output, RejectionReason, SequenceNumber, StreamId,
    StreamKind, MAX_CHILDREN, MAX_CONFIGURATION_LOG_ENTRIES, MAX_CONTROL_CHILDREN, MAX_HOSTS,
    MAX_PENDING_TOKENS, MAX_PURGE_LOG_ENTRIES, MAX_STREAMS,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

impl World {
    /// One call of a machine, and what it wants done.
    pub(super) fn does(&mut self, at: usize, call: impl FnOnce(&mut Node) -> Vec<Output>) {
        let Some(node) = &mut self.processes[at].node else { return };
        let clock = processor();
        let outputs = call(node);
        self.spent[at] += processor() - clock;
        self.carry(at, outputs);
    }

    pub(super) fn carry(&mut self, at: usize, outputs: Vec<Output>) {
        let now = self.now;
        let mut sends: Vec<(SocketAddr, Vec<Message>)> = Vec::new();
        for out in outputs {
            self.sent_anew(at, &out);
            match out {
                Output::Send { to, message } => match sends.iter_mut().find(|(other, _)| *other == to) {
                    Some((_, messages)) => messages.push(message),
                    None => sends.push((to, vec![message])),
                },
                Output::Purge { purges, .. } if self.layout.is_control(at) => {
                    if let Some(publisher) = &mut self.processes[at].publisher {
                        purges.into_iter().for_each(|(purge, age)| publisher.on_published(now, purge, age));
                    }
                }
                Output::Purge { purges, token } => self.decide(at, token, ReceivedState::Purges(purges)),
                Output::Configure { settings, changed, token } => {
                    self.decide(at, token, ReceivedState::Settings { settings, changed });
                }
                Output::ReplicatedToAll { stream, number, .. } => {
                    self.checker.everywhere(now, stream, number, at);
                }
                Output::IncarnationSuperseded { incarnation } => {
                    self.superseded_incarnations += 1;
                    self.processes[at].identity.incarnation = incarnation;
                    self.processes[at].has_new_incarnation = true;
                    self.publisher_ends(at);
                }
            }
        }
        for (to, messages) in sends {
            self.send(at, to, messages);
        }
        let process = &mut self.processes[at];
        let Some(node) = &process.node else { return };
        let next = node.next_due().max(now);
        if process.next_tick.is_none_or(|held| next < held) {
            process.next_tick = Some(next);
            let epoch = process.epoch;
            self.schedule(next, FleetEvent::Tick { at, epoch });
        }
    }

    /// What a control node's life that goes on above another sends of its own, for the first time.
    pub(super) fn sent_anew(&mut self, at: usize, out: &Output) {
        let Output::Send { message: Message::Batch { stream, first, entries }, .. } = out else { return };
        let process = &self.processes[at];
        let own = Some(stream.control) == self.layout.control_id(at)
            && stream.incarnation == process.identity.incarnation;
        if !process.has_new_incarnation || !own {
            return;
        }
        for (number, aged) in (first.0..).map(SequenceNumber).zip(entries) {
            self.checker.sent_anew(*stream, number, &aged.entry);
        }
    }

    pub(super) fn decide(&mut self, at: usize, token: ApplyToken, state: ReceivedState) {
        let (given, epoch) = (self.now, self.processes[at].epoch);
        // In the order given, as a dispatcher takes its events.
        let due = (given + self.within(self.play.decide)).max(self.processes[at].decides);
        self.processes[at].decides = due;
        self.schedule(due, FleetEvent::Decided { at, epoch, given, token, state });
    }

    /// Packs messages to one peer as the link does, and puts the frames on their way.
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, messages: Vec<Message>) {
        let Some(to) = self.layout.at(to) else {
            self.lost[3] += 1;
            return;
        };
        if messages.iter().any(|message| matches!(message, Message::Acknowledgement { .. })) {
            self.follows[from] = Some(to);
        }
        let identity = self.processes[from].identity;
        for (bytes, messages) in wire::pack(identity, messages) {
            self.frame(from, to, identity, bytes, messages);
        }
    }

    pub(super) fn frame(
        &mut self,
        from: usize,
        to: usize,
        identity: Identity,
        bytes: usize,
        messages: Vec<Message>,
    ) {
        let now = self.now;
        self.traffic.sent(now, from, bytes);
        if !self.cuts.is_empty() {
            self.cuts.retain(|cut| cut.until > now);
            if self.cuts.iter().any(|cut| cut.from[from] && cut.to[to]) {
                self.lost[1] += 1;
                return;
            }
        }
        let faults = self.faults;
        if [faults.lost, faults.duplicated, faults.late].into_iter().any(|share| share > ORDINARY_FAULT_SHARE)
        {
            self.checker.disturbed_at_all = true;
        }
        if faults.lost > 0.0 && self.rng.rand_float() < faults.lost {
            self.lost[0] += 1;
            return;
        }
        let way = self.layout.delay(from, to);
        if faults.duplicated > 0.0 && self.rng.rand_float() < faults.duplicated {
            let after = way + self.within(way + Duration::from_millis(1));
            let messages = messages.clone();
            self.schedule(now + after, FleetEvent::Frame { to, from, identity, bytes, messages });
        }
        let mut after = way + self.within(way.mul_f64(0.1) + Duration::from_micros(50));
        if faults.late > 0.0 && self.rng.rand_float() < faults.late {
            after += self.within(MAX_EXTRA_DELAY);
        }
        self.schedule(now + after, FleetEvent::Frame { to, from, identity, bytes, messages });
    }

    pub(super) fn handle_event(&mut self, what: FleetEvent) {
        let now = self.now;
        match what {
            FleetEvent::Frame { to, from, identity, bytes, messages } => {
                self.on_frame(to, from, identity, bytes, messages)
            }
            FleetEvent::Tick { at, epoch } => self.on_timer(at, epoch),
            FleetEvent::Decided { at, epoch, given, token, state } => {
                let process = &mut self.processes[at];
                if process.epoch != epoch || process.node.is_none() {
                    return;
                }
                if process.stopped {
                    process.held.push_back(FleetEvent::Decided { at, epoch, given, token, state });
                    return;
                }
                self.decided(at, given, token, state);
            }
            FleetEvent::Board { at, purge, said } => {
                let process = &mut self.processes[at];
                if process.stopped {
                    process.held.push_back(FleetEvent::Board { at, purge, said });
                    return;
                }
                self.board(at, purge, said);
            }
            FleetEvent::Directory { at, directory } => {
                let process = &mut self.processes[at];
                if process.stopped {
                    process.held.push_back(FleetEvent::Directory { at, directory });
                } else if directory.version > process.directory.version {
                    self.directory_at(at, directory);
                }
            }
            FleetEvent::Purge => self.on_purge_due(),
            FleetEvent::Change => self.on_change_due(),
            FleetEvent::Start(at) => self.start(at),
            FleetEvent::Wake(at) => self.wake(at),
            FleetEvent::Look => {
                self.look();
                self.schedule(now + TABLE_CHECK_INTERVAL, FleetEvent::Look);
            }
        }
    }

    /// Delivers a frame, or buffers it as the socket of a suspended process does.
    fn on_frame(&mut self, to: usize, from: usize, identity: Identity, bytes: usize, messages: Vec<Message>) {
        let now = self.now;
        let process = &mut self.processes[to];
        if process.node.is_none() {
            self.lost[3] += 1;
            return;
        }
        self.traffic.record_received(now, to, bytes);
        if process.stopped {
            if process.held_bytes + bytes + BUFFER_OVERHEAD > SOCKET_BUFFER {
                self.lost[2] += 1;
                return;
            }
            process.held_bytes += bytes + BUFFER_OVERHEAD;
            process.held.push_back(FleetEvent::Frame { to, from, identity, bytes, messages });
            return;
        }
        self.hear(to, from, identity, messages);
    }

    /// Runs the timers of a node unless the timer belongs to an earlier process.
    fn on_timer(&mut self, at: usize, epoch: u32) {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.epoch != epoch || process.next_tick.is_none_or(|due| due > now) {
            return;
        }
        process.next_tick = None;
        if process.stopped {
            return;
        }
        self.tick(at);
    }

    /// Publishes a purge and schedules the next one.
    fn on_purge_due(&mut self) {
        let now = self.now;
        if now >= self.busy_until {
            self.loads[0] = false;
            return;
        }
        let side = if self.parted() { Some(self.below(2) as u8) } else { None };
        self.purge_next(side);
        let mean = 1.0 / self.play.purges_per_second;
        let after = Duration::from_secs_f64(mean * (0.5 + self.rng.rand_float()));
        self.schedule(now + after, FleetEvent::Purge);
    }

    /// Publishes a configuration change and schedules the next one.
    fn on_change_due(&mut self) {
        let now = self.now;
        if now >= self.busy_until {
            self.loads[1] = false;
            return;
        }
        self.next_change();
        let mean = 1.0 / self.play.changes_per_second;
        let after = Duration::from_secs_f64(mean * (0.5 + self.rng.rand_float()));
        self.schedule(now + after, FleetEvent::Change);
    }

    pub(super) fn hear(&mut self, to: usize, from: usize, identity: Identity, messages: Vec<Message>) {
        let (now, address) = (self.now, Layout::address(from));
        let mut outputs = Vec::new();
        for message in messages {
            let Some(node) = &mut self.processes[to].node else { return };
            let tells = match &message {
                Message::Heartbeat { tips, .. } => !tips.is_empty(),
                Message::Batch { .. } | Message::Snapshot { .. } => true,
                _ => false,
            };
            if tells && !self.layout.is_control(to) {
                self.checker.on_contact(now, to);
            }
            let clock = processor();
            outputs.extend(node.on_message(now, identity, address, message));
            self.spent[to] += processor() - clock;
        }
        self.carry(to, outputs);
    }

    pub(super) fn tick(&mut self, at: usize) {
        let now = self.now;
        self.does(at, |node| node.tick(now));
        self.publish_waiting(at);
    }

    pub(super) fn decided(&mut self, at: usize, given: Duration, token: ApplyToken, state: ReceivedState) {
        let now = self.now;
        if self.member(at) {
            match state {
                ReceivedState::Purges(purges) => self.checker.purged(now, given, at, &purges),
                ReceivedState::Settings { mut settings, mut changed } => {
                    let refused = self.on_rejected_setting(at, &settings, &changed);
                    for (id, host, why) in refused {
                        settings.remove(&host);
                        changed.retain(|(other, _)| *other != id);
                        self.checker.on_rejected_setting(at, id);
                        self.does(at, |node| node.reject(now, id, why));
                    }
                    self.checker.configured(now, at, settings, &changed);
                }
            }
        }
        self.does(at, |node| node.confirm_applied(now, token));
    }

    #[allow(clippy::type_complexity)]
    pub(super) fn on_rejected_setting(
        &self,
        at: usize,
        settings: &BTreeMap<String, DesiredState>,
        changed: &[((StreamId, SequenceNumber), String)],
    ) -> Vec<((StreamId, SequenceNumber), String, RejectionReason)> {
        let Some(refuses) = &self.refuses else { return Vec::new() };
        let judged = changed.iter().filter_map(|(id, host)| {
            let wanted = settings.get(host).copied().unwrap_or(DesiredState::Listed);
            refuses(at, host, wanted).map(|why| (*id, host.clone(), why))
        });
        judged.collect()
    }

    pub(super) fn wake(&mut self, at: usize) {
        let process = &mut self.processes[at];
        if process.node.is_none() || !process.stopped {
            return;
        }
        process.stopped = false;
        process.held_bytes = 0;
        process.next_tick = None;
        let held = std::mem::take(&mut process.held);
        if self.member(at) {
            self.checker.set_stopped(at, false);
        }
        // Its timers or its socket first: not its to choose.
        let timers_first = self.below(2) == 0;
        if timers_first {
            self.tick(at);
        }
        for what in held {
            self.handle_event(what);
        }
        if !timers_first {
            self.tick(at);
        }
    }

    /// The tables of all, against their caps.
    pub(super) fn look(&mut self) {
        for at in 0..self.processes.len() {
            let Some(node) = &self.processes[at].node else { continue };
            let status = node.status(self.now);
            let held = |kind| {
                let of = status.streams.iter().filter(move |stream| stream.stream.kind == kind);
                of.map(|stream| stream.entries).max().unwrap_or_default()
            };
            let children = match self.layout.is_control(at) {
                true => MAX_CONTROL_CHILDREN,
                false => MAX_CHILDREN,
            };
            let tables = [
                ("children", status.children, children),
                ("streams", status.streams.len(), MAX_STREAMS),
                ("purges of a log", held(StreamKind::Purges), MAX_PURGE_LOG_ENTRIES),
                ("settings of a log", held(StreamKind::Configuration), MAX_CONFIGURATION_LOG_ENTRIES),
                ("hosts with a setting", status.setting_count, MAX_HOSTS),
                ("tickets", status.unconfirmed, 2 * MAX_PENDING_TOKENS),
            ];
            for (table, held, cap) in tables {
                let most = self.most.entry(table).or_default();
                *most = held.max(*most);
                if held > cap {
                    self.checker.record_violation(Violation::PastCap, || {
                        format!("{held} of {cap} {table} at node {at}")
                    });
                }
            }
        }
    }
}
