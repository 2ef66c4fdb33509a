//! Subscriptions to values, for every protocol alike: changes as they come, or a snapshot at intervals.
//!
//! Of the changes that wait to be sent only the last one of each path is held, so that a slow reader costs no
//! more than what it subscribes to; past [`MAX_WAITING`] paths it is sent a whole snapshot instead.

use rockflow_yang::{data, Change, DataTree, Path, Pattern, Scalar};
use std::collections::BTreeMap;
use std::time::Duration;

/// Paths whose changes may wait for a subscriber.
pub const MAX_WAITING: usize = 20_000;

/// When a subscriber is sent something.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// When a value changes.
    OnChange {
        /// The shortest time between two updates.
        dampening: Duration,
        /// A whole snapshot is sent after this time without one.
        heartbeat: Option<Duration>,
    },
    /// At intervals.
    Periodic {
        /// The interval.
        period: Duration,
        /// Values that have not changed since the last update are left out, but for the heartbeat.
        suppress: bool,
        /// A whole snapshot is sent after this time without one.
        heartbeat: Option<Duration>,
    },
}

/// What is sent to a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All values of the subscription, as they are now.
    Snapshot(BTreeMap<Path, Scalar>),
    /// The values that have changed.
    Changes(BTreeMap<Path, ChangedValue>),
}

/// A value that has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangedValue {
    /// The new value; none: it was deleted.
    pub value: Option<Scalar>,
    /// Earlier changes of the same path that were not sent.
    pub coalesced: u32,
}

/// One subscription: what it selects, and what waits to be sent.
#[derive(Debug)]
pub struct Subscription {
    patterns: Vec<Pattern>,
    trigger: Trigger,
    /// Changes that were not sent yet.
    waiting: BTreeMap<Path, ChangedValue>,
    /// A whole snapshot is to be sent next.
    needs_snapshot: bool,
    /// The last values that were sent, where unchanged ones are left out.
    sent: BTreeMap<Path, Scalar>,
    last_update: Option<Duration>,
    last_snapshot: Duration,
}

impl Subscription {
    /// A subscription to what the patterns select. With `updates_only` no snapshot is sent at the start.
    pub fn new(patterns: Vec<Pattern>, trigger: Trigger, updates_only: bool, now: Duration) -> Self {
        Subscription {
            patterns,
            trigger,
            waiting: BTreeMap::new(),
            needs_snapshot: !updates_only,
            sent: BTreeMap::new(),
            last_update: None,
            last_snapshot: now,
        }
    }

    /// Whether it is sent changes as they come.
    pub fn is_on_change(&self) -> bool {
        matches!(self.trigger, Trigger::OnChange { .. })
    }

    /// Takes in changes as they come; a periodic subscription needs none.
    pub fn record_changes(&mut self, changes: &[Change]) {
        if !self.is_on_change() || self.needs_snapshot {
            return;
        }
        let selected: Vec<_> = changes.iter().filter(|change| self.selects(&change.path)).collect();
        for change in selected {
            let coalesced = self.waiting.get(&change.path).map_or(0, |earlier| earlier.coalesced + 1);
            let changed = ChangedValue { value: change.after.clone(), coalesced };
            self.waiting.insert(change.path.clone(), changed);
        }
        if self.waiting.len() > MAX_WAITING {
            self.waiting.clear();
            self.needs_snapshot = true;
        }
    }

    /// When an update is due; none: not before something changes.
    pub fn next_due(&self) -> Option<Duration> {
        match self.trigger {
            Trigger::OnChange { dampening, heartbeat } => {
                let earliest = self.last_update.map_or(Duration::ZERO, |last| last + dampening);
                let has_update = self.needs_snapshot || !self.waiting.is_empty();
                let update = has_update.then_some(earliest);
                let snapshot = heartbeat.map(|heartbeat| self.last_snapshot + heartbeat);
                update.into_iter().chain(snapshot).min()
            }
            Trigger::Periodic { period, .. } => {
                Some(self.last_update.map_or(Duration::ZERO, |last| last + period))
            }
        }
    }

    /// The update that is due by now, if any; `present` gives the present values where they are needed.
    pub fn take_update(&mut self, now: Duration, present: impl FnOnce() -> DataTree) -> Option<Update> {
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
                    self.waiting.clear();
                    return Some(Update::Snapshot(self.selected_values(present())));
                }
                Some(Update::Changes(std::mem::take(&mut self.waiting)))
            }
            Trigger::Periodic { suppress, heartbeat, .. } => {
                if is_first && !self.needs_snapshot {
                    return None;
                }
                self.needs_snapshot = true;
                let values = self.selected_values(present());
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

    /// The time that counts as that of an update at `now`. Periods stay on their grid where one update was late;
    /// after a longer break the grid begins anew, so that missed updates are not made up for.
    fn update_time(&self, now: Duration) -> Duration {
        match (self.trigger, self.last_update) {
            (Trigger::Periodic { period, .. }, Some(last)) if now < last + 2 * period => last + period,
            _ => now,
        }
    }

    fn is_heartbeat_due(&self, now: Duration, heartbeat: Option<Duration>) -> bool {
        heartbeat.is_some_and(|heartbeat| self.last_snapshot + heartbeat <= now)
    }

    /// What differs from the values that were sent last; the new ones count as sent.
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

    fn selected_values(&self, present: DataTree) -> BTreeMap<Path, Scalar> {
        data::leaves(&present).into_iter().filter(|(path, _)| self.selects(path)).collect()
    }
}
