//! What a call has brought: passed on, given to the caller, and in force.

use crate::entry::{AgedEntry, Purge, SequenceNumber, StreamKind};
use crate::message::Message;
use crate::node::Node;
use crate::output::Output;
use crate::timestamp::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Purges are kept for the window and this share of it.
const LOG_MARGIN_DIVISOR: u32 = 4;

impl Node {
    /// New entries go on to the children, but to the one that brought them.
    pub(crate) fn forward_new_entries(&mut self, now: Duration, except: Option<SocketAddr>) {
        let mut frames = Vec::new();
        for (id, numbers) in std::mem::take(&mut self.new_entries) {
            let Some(stream) = self.streams.get(id) else { continue };
            for (from, to) in runs(numbers.into_iter()) {
                frames.extend(stream.batches(now, from, to, usize::MAX));
            }
        }
        for (stream, first, timestamp, entry) in std::mem::take(&mut self.conflicting_entries) {
            let entries = vec![AgedEntry { age_ms: timestamp.age_ms(now), entry }];
            frames.push(Message::Batch { stream, first, entries });
        }
        if frames.is_empty() {
            return;
        }
        let children: Vec<SocketAddr> = self.children.iter().map(|child| child.address).collect();
        for to in children.into_iter().filter(|to| Some(*to) != except) {
            for frame in &frames {
                self.send(to, frame.clone());
            }
        }
    }

    pub(crate) fn trim_streams(&mut self, now: Duration) {
        let window = self.config.purge_window;
        for id in &self.touched_streams {
            if let Some(stream) = self.streams.get_mut(*id) {
                stream.trim(now, window + window / LOG_MARGIN_DIVISOR);
            }
        }
    }

    pub(crate) fn emit_purges(&mut self, now: Duration) {
        if self.purges_to_apply.is_empty() {
            return;
        }
        let token = self.next_token();
        let mut purges_to_apply = std::mem::take(&mut self.purges_to_apply);
        if self.control.is_none() {
            if self.pending_purges.is_full() {
                self.counters.token_overflows += 1;
                self.pending_purges.clear();
                self.counters.substitute_purges += 1;
                purges_to_apply = vec![(Purge::Everything, Timestamp::ago(now, Duration::ZERO))];
                let all = self.streams.iter().filter(|stream| stream.id.kind == StreamKind::Purges);
                self.touched_streams.extend(all.map(|stream| stream.id));
            }
            self.pending_purges.issue(token, Default::default());
        }
        let purges =
            purges_to_apply.into_iter().map(|(purge, timestamp)| (purge, timestamp.age(now))).collect();
        self.outputs.push(Output::Purge { purges, token });
    }

    /// How far streams are in force by what was confirmed, and will be by what is out.
    pub(crate) fn update_applied(&mut self) {
        for id in std::mem::take(&mut self.touched_streams) {
            let tickets = match id.kind {
                StreamKind::Purges => &mut self.pending_purges,
                StreamKind::Configuration => &mut self.pending_settings,
            };
            let Some(stream) = self.streams.get_mut(id) else { continue };
            let to = stream.received();
            if stream.start_known && !tickets.extend(id, to) && stream.applied != to {
                stream.applied = to;
                self.ack_requested = true;
            }
        }
        let mut advanced = self.pending_purges.take_confirmed();
        advanced.extend(self.pending_settings.take_confirmed());
        for (id, number) in advanced {
            if let Some(stream) = self.streams.get_mut(id) {
                stream.applied = stream.applied.max(number);
                self.ack_requested = true;
            }
        }
    }
}

/// Numbers in a row.
fn runs(numbers: impl Iterator<Item = SequenceNumber>) -> Vec<(SequenceNumber, SequenceNumber)> {
    let mut runs: Vec<(SequenceNumber, SequenceNumber)> = Vec::new();
    for number in numbers {
        match runs.last_mut() {
            Some((_, to)) if to.next() == number => *to = number,
            _ => runs.push((number, number)),
        }
    }
    runs
}
