//! Differences between two data trees, as changes of single leaves.

use super::{leaf_list_path, leaf_list_values, put, put_leaf_list, remove, DataNode, DataTree};
use crate::path::Path;
use crate::schema::{NodeKind, Schema};
use crate::types::Scalar;
use std::collections::{BTreeMap, BTreeSet};

/// A leaf, or a value of a leaf-list, that differs between two trees.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The path of the leaf, or of the single leaf-list value.
    pub path: Path,
    /// The value in the first tree; `None` if it is not there.
    pub before: Option<Scalar>,
    /// The value in the second tree; `None` if it is not there.
    pub after: Option<Scalar>,
}

impl Change {
    /// The change as `path: before -> after` on one line; a missing value is written as `-`.
    pub fn to_text(&self, schema: &Schema) -> String {
        let value = |value: &Option<Scalar>| value.as_ref().map_or("-".to_string(), Scalar::to_string);
        let path = self.path.to_text(schema);
        let line = format!("{path}: {} -> {}", value(&self.before), value(&self.after));
        line.replace(['\n', '\r'], " ")
    }
}

/// The values of all leaves and leaf-lists, by path. Empty containers do not appear.
pub fn leaves(tree: &DataTree) -> BTreeMap<Path, Scalar> {
    let mut found = BTreeMap::new();
    collect_leaves(tree, &Path::default(), &mut found);
    found
}

fn collect_leaves(tree: &DataTree, parent: &Path, found: &mut BTreeMap<Path, Scalar>) {
    for (node, data) in tree {
        match data {
            DataNode::Leaf(value) => {
                found.insert(parent.child(*node, Vec::new()), value.clone());
            }
            // A leaf-list entry is identified by its own value (RFC 7950, section 9.13).
            DataNode::LeafList(values) => {
                for value in values {
                    found.insert(parent.child(*node, vec![value.clone()]), value.clone());
                }
            }
            DataNode::Container(inner) => collect_leaves(inner, &parent.child(*node, Vec::new()), found),
            DataNode::List(entries) => {
                for (keys, entry) in entries {
                    collect_leaves(entry, &parent.child(*node, keys.clone()), found);
                }
            }
        }
    }
}

/// The changes that turn `before` into `after`, in the order of their paths.
pub fn diff(before: &DataTree, after: &DataTree) -> Vec<Change> {
    let (old, new) = (leaves(before), leaves(after));
    let paths: BTreeSet<&Path> = old.keys().chain(new.keys()).collect();
    let changes = paths.into_iter().map(|path| Change {
        path: path.clone(),
        before: old.get(path).cloned(),
        after: new.get(path).cloned(),
    });
    changes.filter(|change| change.before != change.after).collect()
}

/// Applies changes, which may come from a [`diff`] of two other trees.
pub fn apply_changes(schema: &Schema, tree: &mut DataTree, changes: &[Change]) {
    for change in changes {
        let Some(last) = change.path.0.last() else { continue };
        let steps = &change.path.0;
        if matches!(schema.node(last.node).kind, NodeKind::LeafList { .. }) {
            apply_leaf_list_change(schema, tree, change);
            continue;
        }
        match &change.after {
            Some(value) => put(schema, tree, steps, DataNode::Leaf(value.clone())),
            // Without its key an entry can't exist, so the whole entry is removed.
            None if schema.is_key(last.node) => remove(tree, &steps[..steps.len() - 1]),
            None => remove(tree, steps),
        }
    }
}

fn apply_leaf_list_change(schema: &Schema, tree: &mut DataTree, change: &Change) {
    let list_path = leaf_list_path(&change.path.0);
    let mut values = leaf_list_values(tree, &list_path);
    match (&change.before, &change.after) {
        (_, Some(value)) => values.insert(value.clone()),
        (Some(value), None) => values.remove(value),
        (None, None) => false,
    };
    put_leaf_list(schema, tree, &list_path, values);
}
