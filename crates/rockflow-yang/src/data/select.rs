//! Selects parts of a data tree by pattern or by path.

use super::{DataNode, DataTree, Instance};
use crate::path::{Path, Pattern, PatternStep};
use crate::schema::Schema;
use std::collections::BTreeMap;

/// The part of the tree that the pattern matches, with its ancestors.
pub fn select_matching(tree: &DataTree, pattern: &Pattern) -> DataTree {
    select_below(tree, &pattern.0)
}

fn select_below(tree: &DataTree, steps: &[PatternStep]) -> DataTree {
    let Some((step, rest)) = steps.split_first() else {
        return tree.clone();
    };
    let Some(data) = tree.get(&step.node) else {
        return DataTree::new();
    };
    let selected = match data {
        DataNode::List(entries) => {
            let mut matching = BTreeMap::new();
            for (keys, entry) in entries.iter().filter(|(keys, _)| step.matches_keys(keys)) {
                let below = select_below(entry, rest);
                if rest.is_empty() || !below.is_empty() {
                    matching.insert(keys.clone(), below);
                }
            }
            (!matching.is_empty()).then_some(DataNode::List(matching))
        }
        DataNode::Container(inner) if !rest.is_empty() => {
            let below = select_below(inner, rest);
            (!below.is_empty()).then_some(DataNode::Container(below))
        }
        _ => rest.is_empty().then(|| data.clone()),
    };
    selected.map(|data| DataTree::from([(step.node, data)])).unwrap_or_default()
}

/// The instances that the pattern identifies, with their paths. Each entry of a list is an instance of its own. `None`
/// if there are more than `max`.
pub fn instances_matching<'a>(
    tree: &'a DataTree,
    pattern: &Pattern,
    max: usize,
) -> Option<Vec<(Path, Instance<'a>)>> {
    let mut found = Vec::new();
    collect_instances(tree, &pattern.0, &Path::default(), max, &mut found)?;
    Some(found)
}

fn collect_instances<'a>(
    tree: &'a DataTree,
    steps: &[PatternStep],
    parent: &Path,
    max: usize,
    found: &mut Vec<(Path, Instance<'a>)>,
) -> Option<()> {
    let Some((step, rest)) = steps.split_first() else { return Some(()) };
    match tree.get(&step.node) {
        Some(DataNode::List(entries)) => {
            for (keys, entry) in entries.iter().filter(|(keys, _)| step.matches_keys(keys)) {
                let path = parent.child(step.node, keys.clone());
                if rest.is_empty() {
                    found.push((path, Instance::ListEntry(entry)));
                } else {
                    collect_instances(entry, rest, &path, max, found)?;
                }
            }
        }
        Some(DataNode::Container(inner)) if !rest.is_empty() => {
            collect_instances(inner, rest, &parent.child(step.node, Vec::new()), max, found)?;
        }
        Some(data) if rest.is_empty() => {
            found.push((parent.child(step.node, Vec::new()), Instance::DataNode(data)));
        }
        _ => {}
    }
    (found.len() <= max).then_some(())
}

/// Keeps only the leaves and leaf-lists for whose path `is_wanted` is true. Entries and containers without any of them
/// are left out; an entry that stays keeps its keys. `parent` is the path of the node whose children `tree` holds.
pub fn retain_leaves(
    schema: &Schema,
    tree: &DataTree,
    parent: &Path,
    is_wanted: &impl Fn(&Path) -> bool,
) -> DataTree {
    let mut retained = DataTree::new();
    for (node, data) in tree {
        let path = parent.child(*node, Vec::new());
        match data {
            DataNode::Leaf(_) | DataNode::LeafList(_) => {
                if is_wanted(&path) {
                    retained.insert(*node, data.clone());
                }
            }
            DataNode::Container(inner) => {
                let inner = retain_leaves(schema, inner, &path, is_wanted);
                if !inner.is_empty() {
                    retained.insert(*node, DataNode::Container(inner));
                }
            }
            DataNode::List(entries) => {
                let mut retained_entries = BTreeMap::new();
                for (keys, entry) in entries {
                    let path = parent.child(*node, keys.clone());
                    let mut inner = retain_leaves(schema, entry, &path, is_wanted);
                    if inner.is_empty() {
                        continue;
                    }
                    for key in schema.keys(*node) {
                        if let Some(value) = entry.get(key) {
                            inner.insert(*key, value.clone());
                        }
                    }
                    retained_entries.insert(keys.clone(), inner);
                }
                if !retained_entries.is_empty() {
                    retained.insert(*node, DataNode::List(retained_entries));
                }
            }
        }
    }
    retained
}
