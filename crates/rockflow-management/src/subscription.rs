//! What a follower is owed, for every protocol alike: changes since the last time, or a picture at intervals.
//! Changes are kept by path, the last one only, so that a slow reader costs no more than what it follows; past
//! a cap it is owed the whole picture anew instead.

use rockflow_yang::{data, Change, DataTree, Path, Pattern, Scalar};
use std::collections::BTreeMap;
use std::time::Duration;

/// Paths that may wait for a follower.
pub const MAX_WAITING: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// When something changes, but not more often than this (dampening); the whole again after `heartbeat`
    /// without one.
    OnChange { dampening: Duration, heartbeat: Option<Duration> },
    /// At intervals; what has not changed since is left out where `suppress` says so, but for the heartbeat.
    Periodic { period: Duration, suppress: bool, heartbeat: Option<Duration> },
}

/// What is sent to a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All that is followed, as it is now.
    Snapshot(BTreeMap<Path, Scalar>),
    /// What has changed.
    Changes(BTreeMap<Path, ChangedValue>),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangedValue {
    /// None: it is gone.
    pub value: Option<Scalar>,
    /// Changes that this one overtook before it was sent.
    pub coalesced: u32,
}

#[derive(Debug)]
pub struct Subscription {
    patterns: Vec<Pattern>,
    trigger: Trigger,
    /// What has changed and was not sent.
    waiting: BTreeMap<Path, ChangedValue>,
    /// The whole is owed.
    whole: bool,
    /// What was sent last, where what has not changed is left out.
    sent: BTreeMap<Path, Scalar>,
    last: Option<Duration>,
    last_whole: Duration,
}

impl Subscription {
    /// `updates_only`: the picture at the start is not owed.
    pub fn new(patterns: Vec<Pattern>, trigger: Trigger, updates_only: bool, now: Duration) -> Self {
        Subscription {
            patterns,
            trigger,
            waiting: BTreeMap::new(),
            whole: !updates_only,
            sent: BTreeMap::new(),
            last: None,
            last_whole: now,
        }
    }

    /// Whether it is owed changes as they come.
    pub fn on_change(&self) -> bool {
        matches!(self.trigger, Trigger::OnChange { .. })
    }

    fn follows(&self, path: &Path) -> bool {
        self.patterns.iter().any(|pattern| pattern.matches(path))
    }

    /// Takes changes as they come.
    pub fn offer(&mut self, changes: &[Change]) {
        if !matches!(self.trigger, Trigger::OnChange { .. }) || self.whole {
            return;
        }
        for change in changes.iter().filter(|change| self.patterns.iter().any(|p| p.matches(&change.path))) {
            let coalesced = self.waiting.get(&change.path).map_or(0, |old| old.coalesced + 1);
            let changed = ChangedValue { value: change.after.clone(), coalesced };
            self.waiting.insert(change.path.clone(), changed);
        }
        if self.waiting.len() > MAX_WAITING {
            self.waiting.clear();
            self.whole = true;
        }
    }

    /// When something is owed; none: not before something changes.
    pub fn due(&self) -> Option<Duration> {
        match self.trigger {
            Trigger::OnChange { dampening, heartbeat } => {
                let next = self.last.map_or(Duration::ZERO, |last| last + dampening);
                let changed = (self.whole || !self.waiting.is_empty()).then_some(next);
                let beat = heartbeat.map(|heartbeat| self.last_whole + heartbeat);
                changed.into_iter().chain(beat).min()
            }
            Trigger::Periodic { period, .. } => Some(self.last.map_or(Duration::ZERO, |last| last + period)),
        }
    }

    /// What is owed by now; `present` is asked for the picture where that is needed.
    pub fn take(&mut self, now: Duration, present: impl FnOnce() -> DataTree) -> Option<Update> {
        if self.due().is_none_or(|due| due > now) {
            return None;
        }
        let first = self.last.is_none();
        // Steps of the period stay in their places where one was late; those missed are not made up for.
        self.last = Some(match (self.trigger, self.last) {
            (Trigger::Periodic { period, .. }, Some(last)) if now < last + 2 * period => last + period,
            _ => now,
        });
        match self.trigger {
            Trigger::OnChange { heartbeat, .. } => {
                let beat = heartbeat.is_some_and(|heartbeat| self.last_whole + heartbeat <= now);
                if self.whole || beat {
                    self.last_whole = now;
                    self.whole = false;
                    self.waiting.clear();
                    return Some(Update::Snapshot(self.picture(present())));
                }
                Some(Update::Changes(std::mem::take(&mut self.waiting)))
            }
            Trigger::Periodic { suppress, heartbeat, .. } => {
                if first && !self.whole {
                    return None;
                }
                self.whole = true;
                let picture = self.picture(present());
                let beat = heartbeat.is_some_and(|heartbeat| self.last_whole + heartbeat <= now);
                if !suppress || first || beat {
                    self.last_whole = now;
                    if suppress {
                        self.sent = picture.clone();
                    }
                    return Some(Update::Snapshot(picture));
                }
                let old = std::mem::replace(&mut self.sent, picture.clone());
                let mut changes = BTreeMap::new();
                for path in old.keys().filter(|path| !picture.contains_key(*path)) {
                    changes.insert(path.clone(), ChangedValue::default());
                }
                let new = picture.into_iter().filter(|(path, value)| old.get(path) != Some(value));
                let changed = |value| ChangedValue { value: Some(value), coalesced: 0 };
                changes.extend(new.map(|(path, value)| (path, changed(value))));
                (!changes.is_empty()).then_some(Update::Changes(changes))
            }
        }
    }

    fn picture(&self, present: DataTree) -> BTreeMap<Path, Scalar> {
        data::leaves(&present).into_iter().filter(|(path, _)| self.follows(path)).collect()
    }
}
