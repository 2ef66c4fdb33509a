//! Past commits, the reconstruction of earlier configurations, and the last author of each value.

use crate::session::Operator;
use rockflow_yang::{data, Change, DataTree, Path, Schema};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The most changes that the retained commits may hold in total; above it the oldest commits are dropped.
const MAX_HISTORY_CHANGES: usize = 100_000;

/// A commit: one change of the running configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The commit's number. Numbers only increase, and none is used twice.
    pub version: u64,
    /// The operator who made the commit.
    pub operator: Operator,
    /// When the commit was made, as Unix time.
    pub time: Duration,
    /// A remark of the operator, or of the dispatcher on a commit that it made itself; may be empty.
    pub comment: String,
    /// The leaves that changed, with their values before and after.
    pub changes: Vec<Change>,
}

/// The commit that last set a value.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// The user who made the commit.
    pub author: String,
    /// The commit's number.
    pub version: u64,
    /// The commit's time, as Unix time.
    pub time: Duration,
}

/// The retained commits and the origin of each value in running.
pub(crate) struct History {
    /// The retained commits, oldest first.
    commits: VecDeque<Commit>,
    origins: BTreeMap<Path, Origin>,
}

impl History {
    pub(crate) fn new(commits: VecDeque<Commit>, origins: BTreeMap<Path, Origin>) -> History {
        History { commits, origins }
    }

    pub(crate) fn commits(&self) -> impl DoubleEndedIterator<Item = &Commit> {
        self.commits.iter()
    }

    pub(crate) fn origins(&self) -> &BTreeMap<Path, Origin> {
        &self.origins
    }

    /// The user who made the newest retained commit.
    pub(crate) fn last_author(&self) -> Option<&str> {
        self.commits.back().map(|commit| commit.operator.user.as_str())
    }

    pub(crate) fn oldest_version(&self) -> Option<u64> {
        self.commits.front().map(|commit| commit.version)
    }

    /// The newest origin of the values at or below the path.
    pub(crate) fn last_origin(&self, path: &Path) -> Option<&Origin> {
        let below = self.origins.range(path.clone()..).take_while(|(at, _)| path.contains(at));
        below.map(|(_, origin)| origin).max_by_key(|origin| origin.version)
    }

    pub(crate) fn push(&mut self, commit: Commit) {
        self.commits.push_back(commit);
    }

    /// Removes the newest commit, which could not be stored.
    pub(crate) fn pop(&mut self) {
        self.commits.pop_back();
    }

    /// Records the commit as the origin of the values that it set, and drops the origins of those that it deleted.
    /// Returns all origins as they were before, for [`History::restore_origins`].
    pub(crate) fn record_origins(&mut self, commit: &Commit) -> BTreeMap<Path, Origin> {
        let before = self.origins.clone();
        for change in &commit.changes {
            if change.after.is_none() {
                self.origins.remove(&change.path);
                continue;
            }
            let author = commit.operator.user.clone();
            let origin = Origin { author, version: commit.version, time: commit.time };
            self.origins.insert(change.path.clone(), origin);
        }
        before
    }

    pub(crate) fn restore_origins(&mut self, origins: BTreeMap<Path, Origin>) {
        self.origins = origins;
    }

    /// Drops the oldest commits while there are more than `max_commits`, or while they hold more than
    /// [`MAX_HISTORY_CHANGES`] changes in total. The second limit never drops the newest commit.
    pub(crate) fn trim(&mut self, max_commits: usize) {
        let mut changes: usize = self.commits.iter().map(|commit| commit.changes.len()).sum();
        while self.commits.len() > max_commits || (changes > MAX_HISTORY_CHANGES && self.commits.len() > 1) {
            changes -= self.commits.pop_front().map_or(0, |commit| commit.changes.len());
        }
    }

    /// Reconstructs the configuration as of commit `version`; `None` where the history does not reach back that far.
    pub(crate) fn configuration_at(
        &self,
        schema: &Schema,
        running: &DataTree,
        running_version: u64,
        version: u64,
    ) -> Option<DataTree> {
        let is_reachable = version == running_version
            || self.commits.iter().any(|commit| commit.version == version)
            || self.oldest_version().is_some_and(|oldest| oldest == version + 1);
        if !is_reachable || version > running_version {
            return None;
        }
        let mut fields = running.clone();
        for commit in self.commits.iter().rev().take_while(|commit| commit.version > version) {
            data::apply_changes(schema, &mut fields, &inverse(&commit.changes));
        }
        Some(fields)
    }
}

/// The changes that undo the given ones.
fn inverse(changes: &[Change]) -> Vec<Change> {
    let inverted = changes.iter().map(|change| Change {
        path: change.path.clone(),
        before: change.after.clone(),
        after: change.before.clone(),
    });
    inverted.collect()
}
