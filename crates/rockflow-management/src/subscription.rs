//! Subscriptions to values, independent of the protocol: updates on change, or periodic snapshots.
//!
//! Only the last unsent change of each path is kept, so that the memory for a slow reader is bounded by the number of
//! paths that it subscribes to. When more than [`MAX_UNSENT_CHANGES`] paths have unsent changes, these are replaced by
//! one full snapshot.

use rockflow_yang::{data, Change, DataTree, Path, Pattern, Scalar};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most paths with unsent changes that are kept for one subscriber.
pub const MAX_UNSENT_CHANGES: usize = 20_000;

/// When updates are sent to a subscriber.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// Sends an update when a value has changed.
    OnChange {
        /// The shortest time between two updates.
        dampening: Duration,
        /// The time after the last full snapshot at which another is sent; `None`: no periodic snapshots.
        heartbeat: Option<Duration>,
    },
    /// Sends an update at fixed intervals.
    Periodic {
        /// The interval between updates.
        period: Duration,
        /// Whether updates leave out the values that have not changed since the last one.
        suppress: bool,
        /// The time after the last full snapshot at which another is sent although `suppress` is set; `None`: never.
        heartbeat: Option<Duration>,
    },
}

/// The contents of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A full snapshot: the current values of all selected leaves.
    Snapshot(BTreeMap<Path, Scalar>),
    /// The values that have changed since the last update.
    Changes(BTreeMap<Path, ChangedValue>),
}

/// A value that has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangedValue {
    /// The new value; `None`: the value was deleted.
    pub value: Option<Scalar>,
    /// The number of earlier changes of the same path that this one replaced before they were sent.
    pub coalesced: u32,
}

/// A subscription, with the paths that it selects and the changes to be sent.
#[derive(Debug)]
pub struct Subscription {
    patterns: Vec<Pattern>,
    trigger: Trigger,
    /// The last unsent change of each path; empty for a periodic subscription.
    unsent: BTreeMap<Path, ChangedValue>,
    /// Whether the next update is a full snapshot.
    needs_snapshot: bool,
    /// The values as last sent; kept only where unchanged ones are left out.
    sent: BTreeMap<Path, Scalar>,
    /// When the last update was due or sent, as Unix time; `None` before the first.
    last_update: Option<Duration>,
    /// When the last full snapshot was sent, or the subscription was made, as Unix time.
    last_snapshot: Duration,
}

impl Subscription {
    /// Creates a subscription to the leaves that the patterns select. With `updates_only` no snapshot is sent at the
    /// start.
    pub fn new(patterns: Vec<Pattern>, trigger: Trigger, updates_only: bool, now: Duration) -> Self {
        Subscription {
            patterns,
            trigger,
            unsent: BTreeMap::new(),
            needs_snapshot: !updates_only,
            sent: BTreeMap::new(),
            last_update: None,
            last_snapshot: now,
        }
    }

    /// Whether updates are sent when values change rather than periodically.
    pub fn is_on_change(&self) -> bool {
        matches!(self.trigger, Trigger::OnChange { .. })
    }

    /// Records changes to be sent. A periodic subscription ignores them, since it reads the values when it is due.
    pub fn record_changes(&mut self, changes: &[Change]) {
        if !self.is_on_change() || self.needs_snapshot {
            return;
        }
        let selected: Vec<_> = changes.iter().filter(|change| self.selects(&change.path)).collect();
        for change in selected {
            let coalesced = self.unsent.get(&change.path).map_or(0, |earlier| earlier.coalesced + 1);
            let changed = ChangedValue { value: change.after.clone(), coalesced };
            self.unsent.insert(change.path.clone(), changed);
        }
        if self.unsent.len() > MAX_UNSENT_CHANGES {
            self.unsent.clear();
            self.needs_snapshot = true;
        }
    }

    /// When the next update is due, as Unix time; `None`: not before a selected value changes.
    pub fn next_due(&self) -> Option<Duration> {
        match self.trigger {
            Trigger::OnChange { dampening, heartbeat } => {
                let earliest = self.last_update.map_or(Duration::ZERO, |last| last + dampening);
                let has_update = self.needs_snapshot || !self.unsent.is_empty();
                let update = has_update.then_some(earliest);
                let snapshot = heartbeat.map(|heartbeat| self.last_snapshot + heartbeat);
                update.into_iter().chain(snapshot).min()
            }
            Trigger::Periodic { period, .. } => {
                Some(self.last_update.map_or(Duration::ZERO, |last| last + period))
            }
        }
    }

    /// Takes the update that is due by `now`, if any. `current_values` is called only where the update needs them.
    pub fn take_update(
        &mut self,
        now: Duration,
        current_values: impl FnOnce() -> DataTree,
    ) -> Option<Update> {
        if self.next_due().is_none_or(|due| due > now) {
            return None;
        }
        let is_first = self.last_update.is_none();
        self.last_update = Some(self.update_time(now));
        match self.trigger {
            Trigger::OnChange { heartbeat, .. } => {
                if self.needs_snapshot || self.is_heartbeat_due(now, heartbeat) {
                    self.last_snapshot = now;
                    self.needs_snapshot = false;
                    self.unsent.clear();
                    return Some(Update::Snapshot(self.selected_values(current_values())));
                }
                Some(Update::Changes(std::mem::take(&mut self.unsent)))
            }
            Trigger::Periodic { suppress, heartbeat, .. } => {
                if is_first && !self.needs_snapshot {
                    return None;
                }
                self.needs_snapshot = true;
                let values = self.selected_values(current_values());
                if !suppress || is_first || self.is_heartbeat_due(now, heartbeat) {
                    self.last_snapshot = now;
                    if suppress {
                        self.sent = values.clone();
                    }
                    return Some(Update::Snapshot(values));
                }
                let changes = self.changes_since_sent(values);
                (!changes.is_empty()).then_some(Update::Changes(changes))
            }
        }
    }

    /// The time from which the next period counts, after an update at `now`. An update that is late by less than one
    /// period does not shift the schedule. After a longer delay the schedule restarts at `now`, so that missed updates
    /// are skipped instead of being sent in a burst.
    fn update_time(&self, now: Duration) -> Duration {
        match (self.trigger, self.last_update) {
            (Trigger::Periodic { period, .. }, Some(last)) if now < last + 2 * period => last + period,
            _ => now,
        }
    }

    fn is_heartbeat_due(&self, now: Duration, heartbeat: Option<Duration>) -> bool {
        heartbeat.is_some_and(|heartbeat| self.last_snapshot + heartbeat <= now)
    }

    /// The differences between `values` and those last sent; `values` becomes the last sent.
    fn changes_since_sent(&mut self, values: BTreeMap<Path, Scalar>) -> BTreeMap<Path, ChangedValue> {
        let before = std::mem::replace(&mut self.sent, values.clone());
        let mut changes = BTreeMap::new();
        for path in before.keys().filter(|path| !values.contains_key(*path)) {
            changes.insert(path.clone(), ChangedValue::default());
        }
        for (path, value) in values {
            if before.get(&path) != Some(&value) {
                changes.insert(path, ChangedValue { value: Some(value), coalesced: 0 });
            }
        }
        changes
    }

    fn selects(&self, path: &Path) -> bool {
        self.patterns.iter().any(|pattern| pattern.matches(path))
    }

    fn selected_values(&self, tree: DataTree) -> BTreeMap<Path, Scalar> {
        data::leaves(&tree).into_iter().filter(|(path, _)| self.selects(path)).collect()
    }
}
