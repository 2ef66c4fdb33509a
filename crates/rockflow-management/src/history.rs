//! Past commits, the reconstruction of earlier configurations, and who set each value last.

use crate::session::Operator;
use rockflow_yang::{data, Change, DataTree, Path, Schema};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Changes that the commits of the history may hold together; the oldest commits go first.
const MAX_HISTORY_CHANGES: usize = 100_000;

/// One change of running.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Its number; numbers only grow, and are not used twice.
    pub version: u64,
    /// Who made it.
    pub operator: Operator,
    /// When, as Unix time.
    pub time: Duration,
    /// The operator's remark, or the dispatcher's, of a commit of its own.
    pub comment: String,
    /// Each leaf that changed.
    pub changes: Vec<Change>,
}

/// Who set a value last, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// The user.
    pub author: String,
    /// The commit's number.
    pub version: u64,
    /// The commit's time, as Unix time.
    pub time: Duration,
}

/// The commits that are retained, oldest first, and the origin of each value in running.
pub(crate) struct History {
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

    /// The user of the newest commit.
    pub(crate) fn last_author(&self) -> Option<&str> {
        self.commits.back().map(|commit| commit.operator.user.as_str())
    }

    pub(crate) fn oldest_version(&self) -> Option<u64> {
        self.commits.front().map(|commit| commit.version)
    }

    /// The origin that is newest of all at or below the path.
    pub(crate) fn last_origin(&self, path: &Path) -> Option<&Origin> {
        let below = self.origins.range(path.clone()..).take_while(|(at, _)| path.contains(at));
        below.map(|(_, origin)| origin).max_by_key(|origin| origin.version)
    }

    pub(crate) fn push(&mut self, commit: Commit) {
        self.commits.push_back(commit);
    }

    /// Takes back the newest commit.
    pub(crate) fn pop(&mut self) {
        self.commits.pop_back();
    }

    /// Records the commit as the origin of the values that it set. Returns the origins before it.
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

    /// Drops the oldest commits past the limit.
    pub(crate) fn trim(&mut self, max_commits: usize) {
        let mut changes: usize = self.commits.iter().map(|commit| commit.changes.len()).sum();
        while self.commits.len() > max_commits || (changes > MAX_HISTORY_CHANGES && self.commits.len() > 1) {
            changes -= self.commits.pop_front().map_or(0, |commit| commit.changes.len());
        }
    }

    /// The configuration as it was when that commit was in force; none where the history does not reach back.
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

/// The changes that take these back.
fn inverse(changes: &[Change]) -> Vec<Change> {
    let inverted = changes.iter().map(|change| Change {
        path: change.path.clone(),
        before: change.after.clone(),
        after: change.before.clone(),
    });
    inverted.collect()
}
