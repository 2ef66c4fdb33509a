//! Adds default values to a data tree and removes them (RFC 6243).

use super::{DataNode, DataTree};
use crate::schema::{NodeId, NodeKind, NodeScope, Schema};

/// The tree with the default of every unset configuration leaf, in containers and in existing list entries (mode
/// report-all of RFC 6243). Nodes outside of `scope` are not visited.
pub fn with_defaults(schema: &Schema, tree: &DataTree, scope: NodeScope) -> DataTree {
    fill_defaults(schema, tree, schema.roots(), scope)
}

fn fill_defaults(schema: &Schema, tree: &DataTree, children: &[NodeId], scope: NodeScope) -> DataTree {
    let mut full = tree.clone();
    for id in children {
        let node = schema.node(*id);
        if !scope.includes(node) {
            continue;
        }
        match (&node.kind, full.get(id)) {
            (NodeKind::Leaf { default: Some(default), .. }, None) if node.config => {
                full.insert(*id, DataNode::Leaf(default.clone()));
            }
            (NodeKind::Container, container) if node.config || container.is_some() => {
                let empty = DataTree::new();
                let inner = container.and_then(DataNode::fields).unwrap_or(&empty);
                let inner = fill_defaults(schema, inner, &node.children, scope);
                if !inner.is_empty() {
                    full.insert(*id, DataNode::Container(inner));
                }
            }
            (NodeKind::List { .. }, Some(DataNode::List(entries))) => {
                let filled = entries
                    .iter()
                    .map(|(keys, entry)| (keys.clone(), fill_defaults(schema, entry, &node.children, scope)));
                let filled = DataNode::List(filled.collect());
                full.insert(*id, filled);
            }
            _ => {}
        }
    }
    full
}

/// The tree without the leaves whose value equals their default (mode trim of RFC 6243).
pub fn without_defaults(schema: &Schema, tree: &DataTree) -> DataTree {
    let mut trimmed = DataTree::new();
    for (id, data) in tree {
        match data {
            DataNode::Leaf(value) if schema.default_of(*id) == Some(value) => {}
            DataNode::Container(inner) => {
                let inner = without_defaults(schema, inner);
                if !inner.is_empty() {
                    trimmed.insert(*id, DataNode::Container(inner));
                }
            }
            DataNode::List(entries) => {
                let entries =
                    entries.iter().map(|(keys, entry)| (keys.clone(), without_defaults(schema, entry)));
                trimmed.insert(*id, DataNode::List(entries.collect()));
            }
            _ => {
                trimmed.insert(*id, data.clone());
            }
        }
    }
    trimmed
}
