//! A session's candidate, and how it is rebased onto what other sessions have committed since it was begun.

use crate::error::{ErrorTag, ManagementError};
use crate::history::History;
use crate::lock::paths_overlap;
use rockflow_yang::{data, Change, DataTree, Path, PathStep, Schema};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A session's edited copy of running.
pub(crate) struct Candidate {
    /// The edited configuration.
    pub(crate) fields: DataTree,
    /// Running as it was when the first edit was made.
    base: Arc<DataTree>,
    /// The number of the commit that made `base`.
    base_version: u64,
}

impl Candidate {
    pub(crate) fn new(base: Arc<DataTree>, base_version: u64) -> Candidate {
        Candidate { fields: DataTree::new(), base, base_version }
    }

    /// Applies the candidate's changes to `running`, the configuration in force. Fails with the application tag
    /// `conflict` where a commit since the first edit changed the same nodes differently.
    pub(crate) fn rebase(
        &self,
        schema: &Schema,
        running: &DataTree,
        version: u64,
        history: &History,
    ) -> Result<DataTree, ManagementError> {
        if self.base_version == version {
            return Ok(self.fields.clone());
        }
        let ours = data::diff(&self.base, &self.fields);
        let theirs = data::diff(&self.base, running);
        if let Some(path) = find_conflict(schema, &ours, &theirs) {
            return Err(self.conflict_error(schema, path, history));
        }
        let mut merged = running.clone();
        data::apply_changes(schema, &mut merged, &ours);
        Ok(merged)
    }

    fn conflict_error(&self, schema: &Schema, path: &Path, history: &History) -> ManagementError {
        let touches = |change: &Change| paths_overlap(&change.path, path);
        let commit = history
            .commits()
            .rev()
            .find(|commit| commit.version > self.base_version && commit.changes.iter().any(touches));
        let changed_by = commit.map_or("meanwhile".to_string(), |commit| {
            format!("by {} in commit {}", commit.operator.user, commit.version)
        });
        let message = format!("{} was changed {changed_by}; discard and begin anew", path.to_text(schema));
        ManagementError::new(ErrorTag::OperationFailed, message).with_app_tag("conflict").with_path(path)
    }
}

/// A path where the two sets of changes conflict: both set the same leaf to different values, or one deletes a list
/// entry in which the other sets a value.
fn find_conflict<'a>(schema: &Schema, ours: &'a [Change], theirs: &'a [Change]) -> Option<&'a Path> {
    let theirs_by_path: BTreeMap<&Path, &Change> =
        theirs.iter().map(|change| (&change.path, change)).collect();
    let differs = |change: &&Change| {
        theirs_by_path.get(&change.path).is_some_and(|theirs| theirs.after != change.after)
    };
    if let Some(change) = ours.iter().find(differs) {
        return Some(&change.path);
    }
    first_set_inside(ours, &deleted_entries(schema, theirs))
        .or_else(|| first_set_inside(theirs, &deleted_entries(schema, ours)))
}

/// The paths of the list entries that the changes delete: an entry is deleted when a key leaf of it is.
fn deleted_entries<'a>(schema: &Schema, changes: &'a [Change]) -> Vec<&'a [PathStep]> {
    let deletes_key = |change: &&Change| {
        change.after.is_none() && change.path.node().is_some_and(|node| schema.is_key(node))
    };
    let deleted = changes.iter().filter(deletes_key);
    deleted.map(|change| &change.path.0[..change.path.0.len() - 1]).collect()
}

/// The first change that sets a value inside one of the entries.
fn first_set_inside<'a>(changes: &'a [Change], entries: &[&[PathStep]]) -> Option<&'a Path> {
    let is_inside = |change: &&Change| {
        change.after.is_some() && entries.iter().any(|entry| change.path.0.starts_with(entry))
    };
    changes.iter().find(is_inside).map(|change| &change.path)
}
