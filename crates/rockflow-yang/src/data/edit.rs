//! Edits of a data tree (RFC 6241, section 7.2).

use super::{find_instance, leaf_list_path, leaf_list_values, make_place, merge, merge_node};
use super::{put_leaf_list, remove, DataNode, DataTree, Place};
use crate::error::{EditError, EditErrorKind};
use crate::path::{Path, PathStep};
use crate::schema::{NodeKind, Schema};
use std::collections::BTreeMap;

/// What is done to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOperation {
    /// Merges the value into what is there.
    Merge,
    /// Replaces what is there.
    Replace,
    /// Creates the node, which must not exist.
    Create,
    /// Deletes the node, which must exist.
    Delete,
    /// Deletes the node if it exists.
    Remove,
    /// Does nothing, but the node must exist: default-operation none.
    AssertExists,
}

/// One edit of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The node.
    pub path: Path,
    /// What is done to it.
    pub op: EditOperation,
    /// What is merged, put or created; none for the other operations.
    pub value: Option<DataNode>,
}

/// Carries one edit out. On an error the tree is as it was.
pub fn apply_edit(schema: &Schema, tree: &mut DataTree, edit: &Edit) -> Result<(), EditError> {
    let Some(last) = edit.path.0.last() else {
        return apply_at_top(tree, edit);
    };
    check_writable(schema, edit, last)?;
    if matches!(schema.node(last.node).kind, NodeKind::LeafList { .. }) && !last.keys.is_empty() {
        return apply_to_leaf_list_value(schema, tree, edit, last);
    }
    let exists = find_instance(tree, &edit.path.0).is_some();
    check_existence(edit, exists)?;
    match edit.op {
        EditOperation::AssertExists => Ok(()),
        EditOperation::Delete | EditOperation::Remove => {
            if exists {
                remove(tree, &edit.path.0);
            }
            Ok(())
        }
        EditOperation::Merge | EditOperation::Replace | EditOperation::Create => {
            let value = value_for(schema, edit, last)?;
            if edit.op == EditOperation::Replace && exists {
                remove(tree, &edit.path.0);
            }
            put_merged(schema, tree, edit, value)
        }
    }
}

fn error(edit: &Edit, kind: EditErrorKind, what: &str) -> EditError {
    EditError::new(kind, &edit.path, what)
}

fn apply_at_top(tree: &mut DataTree, edit: &Edit) -> Result<(), EditError> {
    match edit.op {
        EditOperation::Replace | EditOperation::Merge => {
            let Some(DataNode::Container(new)) = &edit.value else {
                return Err(error(edit, EditErrorKind::BadValue, "the top holds containers"));
            };
            if edit.op == EditOperation::Replace {
                *tree = new.clone();
            } else {
                merge(tree, new);
            }
            Ok(())
        }
        EditOperation::Delete | EditOperation::Remove => {
            tree.clear();
            Ok(())
        }
        EditOperation::Create => Err(error(edit, EditErrorKind::Exists, "the top exists")),
        EditOperation::AssertExists => Ok(()),
    }
}

/// State is never written. A list key may only be named with the value that it has.
fn check_writable(schema: &Schema, edit: &Edit, last: &PathStep) -> Result<(), EditError> {
    if !schema.node(last.node).config {
        return Err(error(edit, EditErrorKind::NotWritable, "is state, which can't be written"));
    }
    if !schema.is_key(last.node) || edit.op == EditOperation::AssertExists {
        return Ok(());
    }
    let entry = &edit.path.0[..edit.path.0.len() - 1];
    let keys = schema.keys(entry.last().map_or(last.node, |step| step.node));
    let position = keys.iter().position(|id| *id == last.node);
    let present = entry.last().and_then(|step| step.keys.get(position?));
    let wanted = edit.value.as_ref().and_then(DataNode::scalar);
    if matches!(edit.op, EditOperation::Delete | EditOperation::Remove) || wanted != present {
        return Err(error(edit, EditErrorKind::NotWritable, "is a key, which can't be changed"));
    }
    Ok(())
}

fn check_existence(edit: &Edit, exists: bool) -> Result<(), EditError> {
    match edit.op {
        EditOperation::Create if exists => Err(error(edit, EditErrorKind::Exists, "exists already")),
        EditOperation::Delete | EditOperation::AssertExists if !exists => {
            Err(error(edit, EditErrorKind::Missing, "does not exist"))
        }
        _ => Ok(()),
    }
}

/// Applies an edit to one value of a leaf-list, which its path names.
fn apply_to_leaf_list_value(
    schema: &Schema,
    tree: &mut DataTree,
    edit: &Edit,
    last: &PathStep,
) -> Result<(), EditError> {
    let Some(value) = last.keys.first() else {
        return Err(error(edit, EditErrorKind::BadValue, "names no value"));
    };
    let whole = leaf_list_path(&edit.path.0);
    let mut values = leaf_list_values(tree, &whole);
    check_existence(edit, values.contains(value))?;
    match edit.op {
        EditOperation::AssertExists => return Ok(()),
        EditOperation::Delete | EditOperation::Remove => values.remove(value),
        EditOperation::Merge | EditOperation::Replace | EditOperation::Create => values.insert(value.clone()),
    };
    put_leaf_list(schema, tree, &whole, values);
    Ok(())
}

/// The edit's value, or an empty container or list without one, if the node can hold it.
fn value_for(schema: &Schema, edit: &Edit, last: &PathStep) -> Result<DataNode, EditError> {
    let kind = &schema.node(last.node).kind;
    let value = match (&edit.value, kind) {
        (Some(value), _) => value.clone(),
        (None, NodeKind::Container) => DataNode::Container(DataTree::new()),
        (None, NodeKind::List { .. }) => DataNode::List(BTreeMap::new()),
        (None, _) => return Err(error(edit, EditErrorKind::BadValue, "has no value")),
    };
    let fits = match (kind, &value) {
        (NodeKind::Container, DataNode::Container(_)) | (NodeKind::Leaf { .. }, DataNode::Leaf(_)) => true,
        (NodeKind::LeafList { .. }, DataNode::LeafList(_)) => true,
        (NodeKind::List { .. }, DataNode::List(_)) => true,
        (NodeKind::List { .. }, DataNode::Container(_)) => !last.keys.is_empty(),
        _ => false,
    };
    if fits {
        Ok(value)
    } else {
        Err(error(edit, EditErrorKind::BadValue, "can't hold such a value"))
    }
}

fn put_merged(schema: &Schema, tree: &mut DataTree, edit: &Edit, value: DataNode) -> Result<(), EditError> {
    match (make_place(schema, tree, &edit.path.0), value) {
        (Place::ListEntry(entry), DataNode::Container(new)) => merge(entry, &new),
        (Place::ListEntry(_), _) => {
            return Err(error(edit, EditErrorKind::BadValue, "can't hold such a value"))
        }
        (Place::Slot(holder, node), value) => match holder.get_mut(&node) {
            Some(old) => merge_node(old, &value),
            None => {
                holder.insert(node, value);
            }
        },
    }
    Ok(())
}
