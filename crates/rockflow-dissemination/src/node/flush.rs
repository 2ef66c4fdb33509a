//! The end of each call: new entries are forwarded to the children and returned to the caller, and the numbers up to
//! which streams are applied are updated.

use super::Node;
use crate::output::Output;
use std::net::SocketAddr;
use std::time::Duration;

/// A log keeps purges for the purge window plus the window divided by this number.
const LOG_MARGIN_DIVISOR: u32 = 4;

impl Node {
    /// Finishes a call: returns its outputs, and sets when the next tick is due. New entries are not sent to `except`,
    /// the node that they came from.
    pub(super) fn flush(&mut self, now: Duration, except: Option<SocketAddr>) -> Vec<Output> {
        self.forward_new_entries(now, except);
        self.trim_streams(now);
        let purges = self.apply_queue.take_purges(now, &self.streams, &mut self.counters);
        self.outputs.extend(purges);
        let settings = self.apply_queue.take_settings(
            &self.settings,
            &mut self.quarantined,
            &self.streams,
            &mut self.counters,
        );
        self.outputs.extend(settings);
        if self.apply_queue.update_applied(&mut self.streams) {
            self.acks.request();
        }
        self.clock.next_tick = self.earliest_deadline(now);
        std::mem::take(&mut self.outputs)
    }

    fn forward_new_entries(&mut self, now: Duration, except: Option<SocketAddr>) {
        let batches = self.forward_queue.take_batches(now, &self.streams);
        if batches.is_empty() {
            return;
        }
        for to in self.children.addresses().into_iter().filter(|to| Some(*to) != except) {
            for batch in &batches {
                self.send(to, batch.clone());
            }
        }
    }

    fn trim_streams(&mut self, now: Duration) {
        let window = self.config.purge_window;
        for id in self.apply_queue.touched() {
            if let Some(stream) = self.streams.get_mut(id) {
                stream.trim(now, window + window / LOG_MARGIN_DIVISOR);
            }
        }
    }

    fn earliest_deadline(&self, now: Duration) -> Duration {
        let is_member = self.control.is_none();
        let heartbeat = match &self.control {
            Some(control) => control.heartbeat_due,
            None => self.heartbeats.member_due(),
        };
        let deadlines = [
            Some(now + self.config.heartbeat_interval),
            Some(heartbeat),
            self.streams.iter().filter_map(|stream| stream.repair_due()).min(),
            self.table_sync.next_due(),
            is_member.then(|| self.acks.due()),
            is_member.then(|| self.join.due()),
            self.subscription.next_due(),
        ];
        deadlines.into_iter().flatten().min().unwrap_or(now).max(now)
    }
}
