//! Data trees: what they hold, and how one node of them is reached.

mod constraints;
mod defaults;
mod diff;
mod edit;
mod select;

pub use constraints::check_constraints;
pub use defaults::{with_defaults, without_defaults};
pub use diff::{apply_changes, diff, leaves, Change};
pub use edit::{apply_edit, Edit, EditOperation};
pub use select::{instances_matching, retain_leaves, select_matching};

use crate::path::{Path, PathStep};
use crate::schema::{NodeId, Schema};
use crate::types::{KeyValues, Scalar};
use std::collections::{BTreeMap, BTreeSet};

/// The data nodes below one node, or at the top, by their schema node.
pub type DataTree = BTreeMap<NodeId, DataNode>;

/// A data node with all that lies below it.
#[derive(Clone, Debug, PartialEq)]
pub enum DataNode {
    /// A leaf's value.
    Leaf(Scalar),
    /// A leaf-list's values.
    LeafList(BTreeSet<Scalar>),
    /// What a container holds. Elsewhere also a list entry, where the path names it.
    Container(DataTree),
    /// A list's entries by key; the key leaves stand in the entries too.
    List(BTreeMap<KeyValues, DataTree>),
}

impl DataNode {
    /// What a container holds.
    pub fn fields(&self) -> Option<&DataTree> {
        match self {
            DataNode::Container(tree) => Some(tree),
            _ => None,
        }
    }

    /// A leaf's value.
    pub fn scalar(&self) -> Option<&Scalar> {
        match self {
            DataNode::Leaf(value) => Some(value),
            _ => None,
        }
    }

    /// Number of values and entries, as a measure of the memory that a tree takes.
    pub fn count_values(&self) -> usize {
        match self {
            DataNode::Leaf(_) => 1,
            DataNode::LeafList(values) => values.len(),
            DataNode::Container(tree) => count_values(tree),
            DataNode::List(entries) => entries.values().map(|entry| 1 + count_values(entry)).sum(),
        }
    }
}

/// What a path leads to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Instance<'a> {
    /// A whole data node.
    DataNode(&'a DataNode),
    /// One entry of a list.
    ListEntry(&'a DataTree),
}

/// Number of values and entries of a tree, as a measure of the memory that it takes.
pub fn count_values(tree: &DataTree) -> usize {
    tree.values().map(DataNode::count_values).sum()
}

/// What the path leads to; the whole list where its last step has no keys.
pub fn find_instance<'a>(tree: &'a DataTree, path: &[PathStep]) -> Option<Instance<'a>> {
    let (step, rest) = path.split_first()?;
    let data = tree.get(&step.node)?;
    match data {
        DataNode::List(entries) if !step.keys.is_empty() => {
            let entry = entries.get(&step.keys)?;
            if rest.is_empty() {
                Some(Instance::ListEntry(entry))
            } else {
                find_instance(entry, rest)
            }
        }
        DataNode::Container(inner) if !rest.is_empty() => find_instance(inner, rest),
        _ if rest.is_empty() => Some(Instance::DataNode(data)),
        _ => None,
    }
}

/// The value of the leaf that the names lead to, through containers only.
pub fn leaf_by_names<'a>(schema: &Schema, tree: &'a DataTree, names: &[&str]) -> Option<&'a Scalar> {
    let mut node = None;
    let mut steps = Vec::new();
    for name in names {
        let id = schema.child(node, None, name)?;
        steps.push(PathStep { node: id, keys: Vec::new() });
        node = Some(id);
    }
    match find_instance(tree, &steps)? {
        Instance::DataNode(data) => data.scalar(),
        Instance::ListEntry(_) => None,
    }
}

/// Puts data at a path, configuration or state, and makes the entries and containers that lead there.
pub fn insert_at(schema: &Schema, tree: &mut DataTree, path: &Path, data: DataNode) {
    match (make_place(schema, tree, &path.0), data) {
        (Place::ListEntry(entry), DataNode::Container(inner)) => merge(entry, &inner),
        (Place::Slot(holder, node), data) => {
            holder.insert(node, data);
        }
        (Place::ListEntry(_), _) => {}
    }
}

/// Merges one tree into another: values of `from` replace those of `into`.
pub fn merge(into: &mut DataTree, from: &DataTree) {
    for (node, data) in from {
        match into.get_mut(node) {
            Some(old) => merge_node(old, data),
            None => {
                into.insert(*node, data.clone());
            }
        }
    }
}

fn merge_node(into: &mut DataNode, from: &DataNode) {
    match (into, from) {
        (DataNode::Container(old), DataNode::Container(new)) => merge(old, new),
        (DataNode::LeafList(old), DataNode::LeafList(new)) => old.extend(new.iter().cloned()),
        (DataNode::List(old), DataNode::List(new)) => {
            for (keys, entry) in new {
                match old.get_mut(keys) {
                    Some(old_entry) => merge(old_entry, entry),
                    None => {
                        old.insert(keys.clone(), entry.clone());
                    }
                }
            }
        }
        (into, from) => *into = from.clone(),
    }
}

/// Where a path leads to in a tree that is written.
enum Place<'a> {
    /// An entry of a list.
    ListEntry(&'a mut DataTree),
    /// The tree that holds the node, or is to hold it.
    Slot(&'a mut DataTree, NodeId),
}

/// The place that the path leads to. Entries and containers on the way are made.
fn make_place<'a>(schema: &Schema, tree: &'a mut DataTree, path: &[PathStep]) -> Place<'a> {
    let Some((step, rest)) = path.split_first() else {
        return Place::ListEntry(tree);
    };
    // A node of another shape than the path's is replaced.
    if !step.keys.is_empty() {
        if !matches!(tree.get(&step.node), Some(DataNode::List(_))) {
            tree.insert(step.node, DataNode::List(BTreeMap::new()));
        }
        let Some(DataNode::List(entries)) = tree.get_mut(&step.node) else {
            unreachable!("a list was inserted above");
        };
        let entry = entries.entry(step.keys.clone()).or_insert_with(|| new_entry(schema, step));
        return make_place(schema, entry, rest);
    }
    if rest.is_empty() {
        return Place::Slot(tree, step.node);
    }
    if !matches!(tree.get(&step.node), Some(DataNode::Container(_))) {
        tree.insert(step.node, DataNode::Container(DataTree::new()));
    }
    match tree.get_mut(&step.node) {
        Some(DataNode::Container(inner)) => make_place(schema, inner, rest),
        _ => unreachable!("a container was inserted above"),
    }
}

/// A list entry that holds only its keys.
fn new_entry(schema: &Schema, step: &PathStep) -> DataTree {
    let values = step.keys.iter().cloned().map(DataNode::Leaf);
    schema.keys(step.node).iter().copied().zip(values).collect()
}

/// Puts data into the slot that the path leads to.
fn put(schema: &Schema, tree: &mut DataTree, path: &[PathStep], data: DataNode) {
    if let Place::Slot(holder, node) = make_place(schema, tree, path) {
        holder.insert(node, data);
    }
}

/// Removes what the path leads to, and the containers and lists that are empty then.
fn remove(tree: &mut DataTree, path: &[PathStep]) {
    let Some((step, rest)) = path.split_first() else { return };
    let Some(data) = tree.get_mut(&step.node) else { return };
    let is_empty = match data {
        DataNode::List(entries) if !step.keys.is_empty() => {
            if rest.is_empty() {
                entries.remove(&step.keys);
            } else if let Some(entry) = entries.get_mut(&step.keys) {
                remove(entry, rest);
            }
            entries.is_empty()
        }
        DataNode::Container(inner) if !rest.is_empty() => {
            remove(inner, rest);
            inner.is_empty()
        }
        _ => true,
    };
    if is_empty {
        tree.remove(&step.node);
    }
}

/// The values of the leaf-list that the path leads to; none where it is not there.
fn leaf_list_values(tree: &DataTree, path: &[PathStep]) -> BTreeSet<Scalar> {
    match find_instance(tree, path) {
        Some(Instance::DataNode(DataNode::LeafList(values))) => values.clone(),
        _ => BTreeSet::new(),
    }
}

/// Puts the values of a leaf-list at the path; without values the leaf-list goes.
fn put_leaf_list(schema: &Schema, tree: &mut DataTree, path: &[PathStep], values: BTreeSet<Scalar>) {
    if values.is_empty() {
        remove(tree, path);
    } else {
        put(schema, tree, path, DataNode::LeafList(values));
    }
}

/// The path of the leaf-list whose value the given path names.
fn leaf_list_path(path: &[PathStep]) -> Vec<PathStep> {
    let mut whole = path.to_vec();
    if let Some(last) = whole.last_mut() {
        last.keys.clear();
    }
    whole
}
