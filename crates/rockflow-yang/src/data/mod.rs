//! Data trees: their structure, and access to single nodes by path.

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

/// The children of one data node, or the top-level nodes, by their schema node.
pub type DataTree = BTreeMap<NodeId, DataNode>;

/// A data node with its descendants.
#[derive(Clone, Debug, PartialEq)]
pub enum DataNode {
    /// A leaf with its value.
    Leaf(Scalar),
    /// A leaf-list with its values.
    LeafList(BTreeSet<Scalar>),
    /// A container with its children. As the value of an [`Edit`] whose path identifies a list entry, also that entry.
    Container(DataTree),
    /// A list with its entries by key. Each entry contains its key leaves too.
    List(BTreeMap<KeyValues, DataTree>),
}

impl DataNode {
    /// The children of a container; `None` for other nodes.
    pub fn fields(&self) -> Option<&DataTree> {
        match self {
            DataNode::Container(tree) => Some(tree),
            _ => None,
        }
    }

    /// The value of a leaf; `None` for other nodes.
    pub fn scalar(&self) -> Option<&Scalar> {
        match self {
            DataNode::Leaf(value) => Some(value),
            _ => None,
        }
    }

    /// Number of values and list entries, as an estimate of memory use.
    pub fn count_values(&self) -> usize {
        match self {
            DataNode::Leaf(_) => 1,
            DataNode::LeafList(values) => values.len(),
            DataNode::Container(tree) => count_values(tree),
            DataNode::List(entries) => entries.values().map(|entry| 1 + count_values(entry)).sum(),
        }
    }
}

/// The data that a path identifies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Instance<'a> {
    /// A whole data node; for a list, all of its entries.
    DataNode(&'a DataNode),
    /// One entry of a list.
    ListEntry(&'a DataTree),
}

/// Number of values and list entries of a tree, as an estimate of memory use.
pub fn count_values(tree: &DataTree) -> usize {
    tree.values().map(DataNode::count_values).sum()
}

/// Finds the data at a path: the whole list where its last step has no keys. `None` if there is no data, and for a path
/// without steps.
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

/// The value of the leaf at the given node names, whose ancestors are all containers. `None` if there is no such leaf,
/// or if it has no value.
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

/// Inserts data at a path, be it configuration or state, and creates missing list entries and containers on the path.
/// At a list entry the data is merged, elsewhere it replaces the present data.
pub fn insert_at(schema: &Schema, tree: &mut DataTree, path: &Path, data: DataNode) {
    match (locate_or_create(schema, tree, &path.0), data) {
        (Target::ListEntry(entry), DataNode::Container(inner)) => merge(entry, &inner),
        (Target::Node(parent, node), data) => {
            parent.insert(node, data);
        }
        (Target::ListEntry(_), _) => {}
    }
}

/// Merges `from` into `into`. Leaf values of `from` replace those of `into`; leaf-list values are added.
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

/// The location of a path in a tree that is being modified.
enum Target<'a> {
    /// The children of a list entry, or of the root.
    ListEntry(&'a mut DataTree),
    /// The children of the node's parent, and the node itself, which may be missing.
    Node(&'a mut DataTree, NodeId),
}

/// Finds the location of a path, and creates missing list entries and containers on the path.
fn locate_or_create<'a>(schema: &Schema, tree: &'a mut DataTree, path: &[PathStep]) -> Target<'a> {
    let Some((step, rest)) = path.split_first() else {
        return Target::ListEntry(tree);
    };
    // Data of another kind than the step needs is replaced.
    if !step.keys.is_empty() {
        if !matches!(tree.get(&step.node), Some(DataNode::List(_))) {
            tree.insert(step.node, DataNode::List(BTreeMap::new()));
        }
        let Some(DataNode::List(entries)) = tree.get_mut(&step.node) else {
            unreachable!("a list was inserted above");
        };
        let entry = entries.entry(step.keys.clone()).or_insert_with(|| new_entry(schema, step));
        return locate_or_create(schema, entry, rest);
    }
    if rest.is_empty() {
        return Target::Node(tree, step.node);
    }
    if !matches!(tree.get(&step.node), Some(DataNode::Container(_))) {
        tree.insert(step.node, DataNode::Container(DataTree::new()));
    }
    match tree.get_mut(&step.node) {
        Some(DataNode::Container(inner)) => locate_or_create(schema, inner, rest),
        _ => unreachable!("a container was inserted above"),
    }
}

/// A list entry that contains only its key leaves.
fn new_entry(schema: &Schema, step: &PathStep) -> DataTree {
    let values = step.keys.iter().cloned().map(DataNode::Leaf);
    schema.keys(step.node).iter().copied().zip(values).collect()
}

/// Replaces the data node at the path. Does nothing if the path identifies a list entry.
fn put(schema: &Schema, tree: &mut DataTree, path: &[PathStep], data: DataNode) {
    if let Target::Node(parent, node) = locate_or_create(schema, tree, path) {
        parent.insert(node, data);
    }
}

/// Removes the data at the path, and all containers and lists on the path that become empty.
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

/// The values of the leaf-list at the path; empty if it does not exist.
fn leaf_list_values(tree: &DataTree, path: &[PathStep]) -> BTreeSet<Scalar> {
    match find_instance(tree, path) {
        Some(Instance::DataNode(DataNode::LeafList(values))) => values.clone(),
        _ => BTreeSet::new(),
    }
}

/// Replaces the values of the leaf-list at the path. Without values the leaf-list is removed.
fn put_leaf_list(schema: &Schema, tree: &mut DataTree, path: &[PathStep], values: BTreeSet<Scalar>) {
    if values.is_empty() {
        remove(tree, path);
    } else {
        put(schema, tree, path, DataNode::LeafList(values));
    }
}

/// The path of the whole leaf-list, given the path of one of its values.
fn leaf_list_path(path: &[PathStep]) -> Vec<PathStep> {
    let mut list_path = path.to_vec();
    if let Some(last) = list_path.last_mut() {
        last.keys.clear();
    }
    list_path
}
