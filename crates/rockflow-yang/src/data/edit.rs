//! Edits of a data tree, with the operations of NETCONF's edit-config (RFC 6241, section 7.2).

use super::{find_instance, leaf_list_path, leaf_list_values, locate_or_create, merge, merge_node};
use super::{put_leaf_list, remove, DataNode, DataTree, Target};
use crate::error::{EditError, EditErrorKind};
use crate::path::{Path, PathStep};
use crate::schema::{NodeKind, Schema};
use std::collections::BTreeMap;

/// The operation that an edit performs on its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOperation {
    /// Merges the value into the present data.
    Merge,
    /// Replaces the present data with the value.
    Replace,
    /// Creates the node, which must not exist.
    Create,
    /// Deletes the node, which must exist.
    Delete,
    /// Deletes the node if it exists.
    Remove,
    /// Changes nothing, but fails unless the node exists. This is the default-operation `none` of edit-config.
    AssertExists,
}

/// One operation on one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The path of the edited node.
    pub path: Path,
    /// The operation on the node.
    pub op: EditOperation,
    /// The value of a merge, replace or create; `None` for the other operations.
    pub value: Option<DataNode>,
}

/// Applies one edit. On an error the tree is unchanged.
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

fn error(edit: &Edit, kind: EditErrorKind, message: &str) -> EditError {
    EditError::new(kind, &edit.path, message)
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

/// Rejects edits of state, and edits that would change or delete a list key.
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

/// Applies an edit whose path identifies a single value of a leaf-list.
fn apply_to_leaf_list_value(
    schema: &Schema,
    tree: &mut DataTree,
    edit: &Edit,
    last: &PathStep,
) -> Result<(), EditError> {
    let Some(value) = last.keys.first() else {
        return Err(error(edit, EditErrorKind::BadValue, "names no value"));
    };
    let list_path = leaf_list_path(&edit.path.0);
    let mut values = leaf_list_values(tree, &list_path);
    check_existence(edit, values.contains(value))?;
    match edit.op {
        EditOperation::AssertExists => return Ok(()),
        EditOperation::Delete | EditOperation::Remove => values.remove(value),
        EditOperation::Merge | EditOperation::Replace | EditOperation::Create => values.insert(value.clone()),
    };
    put_leaf_list(schema, tree, &list_path, values);
    Ok(())
}

/// The value of the edit. A missing value stands for an empty container or list. A value of another kind than the node
/// is an error.
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
    match (locate_or_create(schema, tree, &edit.path.0), value) {
        (Target::ListEntry(entry), DataNode::Container(new)) => merge(entry, &new),
        (Target::ListEntry(_), _) => {
            return Err(error(edit, EditErrorKind::BadValue, "can't hold such a value"))
        }
        (Target::Node(parent, node), value) => match parent.get_mut(&node) {
            Some(old) => merge_node(old, &value),
            None => {
                parent.insert(node, value);
            }
        },
    }
    Ok(())
}
