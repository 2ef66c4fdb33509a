//! Constraints that are checked on a whole tree: mandatory leaves and element counts.

use super::{DataNode, DataTree};
use crate::error::{EditError, EditErrorKind};
use crate::path::Path;
use crate::schema::{NodeId, NodeKind, Schema};

/// Checks that every list entry has its mandatory nodes, and that lists and leaf-lists observe `min-elements` and
/// `max-elements`. `parent` is the path of the node whose children `tree` holds.
pub fn check_constraints(schema: &Schema, tree: &DataTree, parent: &Path) -> Result<(), EditError> {
    for (id, data) in tree {
        let path = parent.child(*id, Vec::new());
        check_element_count(schema, *id, data, &path)?;
        match data {
            DataNode::Container(inner) => check_constraints(schema, inner, &path)?,
            DataNode::List(entries) => {
                for (keys, entry) in entries {
                    let path = parent.child(*id, keys.clone());
                    check_mandatory(schema, *id, entry, &path)?;
                    check_constraints(schema, entry, &path)?;
                }
            }
            DataNode::Leaf(_) | DataNode::LeafList(_) => {}
        }
    }
    Ok(())
}

fn check_element_count(schema: &Schema, id: NodeId, data: &DataNode, path: &Path) -> Result<(), EditError> {
    let (min, max, count) = match (&schema.node(id).kind, data) {
        (NodeKind::List { min_elements, max_elements, .. }, DataNode::List(entries)) => {
            (*min_elements, *max_elements, entries.len() as u64)
        }
        (NodeKind::LeafList { min_elements, max_elements, .. }, DataNode::LeafList(values)) => {
            (*min_elements, *max_elements, values.len() as u64)
        }
        _ => return Ok(()),
    };
    if (min..=max).contains(&count) {
        return Ok(());
    }
    let message = format!("{}: {count} entries, from {min} to {max} may be", path.to_text(schema));
    Err(EditError::new(EditErrorKind::BadValue, path, message))
}

fn check_mandatory(schema: &Schema, list: NodeId, entry: &DataTree, path: &Path) -> Result<(), EditError> {
    for child in &schema.node(list).children {
        let child_node = schema.node(*child);
        let is_mandatory = match &child_node.kind {
            NodeKind::Leaf { mandatory, .. } => *mandatory,
            NodeKind::LeafList { min_elements, .. } => *min_elements > 0,
            _ => false,
        };
        if is_mandatory && !entry.contains_key(child) {
            let message = format!("{}: {} is missing", path.to_text(schema), child_node.name);
            return Err(EditError::new(EditErrorKind::Missing, path, message));
        }
    }
    Ok(())
}
