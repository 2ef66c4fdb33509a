//! Settings as a node takes them and gives them, whole tables among them.

use crate::messages::{Message, MAX_SETTINGS};
use crate::node::Node;
use crate::outs::Out;
use crate::settings::MAX_PARTS_AT_ONCE;
use crate::sizes;
use crate::tables::{Differs, Fetched};
use crate::words::{Identity, Kind, Version};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A configuration gap that is older than so many pulses doesn't keep a digest from being compared.
const OLD_GAP: u32 = 8;

impl Node {
    /// A digest of all settings, by one whose table may be asked for.
    pub(crate) fn compare(&mut self, now: Duration, from: Identity, at: SocketAddr, digest: u32) {
        if digest == self.hosts.digest() {
            self.tables.same(from.node);
            return;
        }
        let old = self.told.pulse * OLD_GAP;
        let open = self.streams.iter().filter(|stream| stream.id.kind == Kind::Configuration && stream.gap());
        let young = |since: Duration| now.saturating_sub(since) < old;
        if open.into_iter().any(|stream| stream.gap_since().is_some_and(young)) {
            return;
        }
        match self.tables.differs(now, from, at) {
            Differs::Wait => {}
            Differs::Fetch(to, message) => self.send(to, message),
            Differs::Give(part) => {
                let next = self.give_settings(now, at, part);
                self.tables.in_vain(now, from.node, next);
            }
        }
    }

    pub(crate) fn send_settings(&mut self, now: Duration, at: SocketAddr, part: u16) {
        self.give_settings(now, at, part);
    }

    /// The part behind those that were sent; none: they were the last.
    fn give_settings(&mut self, now: Duration, at: SocketAddr, part: u16) -> Option<u16> {
        if !self.table_pace.open(now) {
            self.counts.repairs_held_back += 1;
            return Some(part);
        }
        self.counts.repairs_answered += 1;
        let mut next = None;
        for message in self.hosts.messages(part) {
            if let Message::Settings { part, parts, .. } = message {
                next = part.checked_add(1).filter(|next| *next < parts);
            }
            self.table_pace.take(sizes::message(&message));
            self.send(at, message);
        }
        next
    }

    pub(crate) fn settings(
        &mut self,
        now: Duration,
        from: Identity,
        of: (u32, u16, u16),
        settings: Vec<Version>,
    ) {
        for version in settings.into_iter().take(MAX_SETTINGS) {
            if usize::from(version.stream.control.0) >= self.told.control.len() {
                self.counts.not_taken += 1;
                continue;
            }
            self.judge(version);
        }
        let (asking, fetched) = self.tables.part(now, from, of, MAX_PARTS_AT_ONCE as u16);
        if let Some((to, message)) = asking {
            self.send(to, message);
        }
        if let Some(fetched) = fetched {
            self.fetched(now, fetched);
        }
    }

    /// A whole table is here: streams go on by it.
    fn fetched(&mut self, now: Duration, fetched: Fetched) {
        for (id, next) in fetched.jumps {
            if let Some(stream) = self.streams.get_mut(id) {
                stream.pass(next, None);
                stream.watch_gap(now, self.told.pulse / 2);
                self.touched.insert(id);
            }
        }
    }

    /// The whole table for the caller, where it changed.
    pub(crate) fn emit_settings(&mut self) {
        if self.changed.is_empty() {
            return;
        }
        let ticket = self.next_ticket();
        let mut changed = std::mem::take(&mut self.changed);
        let again = self.apart.judge_again(&self.hosts, ticket);
        let new: BTreeSet<_> = changed.iter().map(|(id, _)| *id).collect();
        changed.extend(again.into_iter().filter(|(id, _)| !new.contains(id)));
        if self.control.is_none() {
            if self.setting_tickets.is_full() {
                self.counts.tickets_given_up += 1;
                self.setting_tickets.clear();
                let all = self.streams.iter().filter(|stream| stream.id.kind == Kind::Configuration);
                self.touched.extend(all.map(|stream| stream.id));
            }
            let judged = changed.iter().map(|(id, _)| *id).collect();
            self.setting_tickets.give(ticket, judged);
        }
        self.outs.push(Out::Configure { settings: self.hosts.wanted(), changed, ticket });
    }
}
