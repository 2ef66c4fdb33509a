//! Which part of a tree is wanted: by subtree (RFC 6241, section 6), or by a subset of XPath that names paths:
//! absolute ones, with keys compared to literals, `*` for any key by leaving it out, joined by `|`.

use crate::xml::{Element, Prefixes};
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::{data, DataNode, DataTree, NodeId, Pattern, Schema};
use std::collections::BTreeMap;

/// Paths in one expression.
pub const MAX_PATHS: usize = 64;

/// What the elements of a subtree filter select below `parent`.
pub fn subtree(schema: &Schema, fields: &DataTree, parent: Option<NodeId>, filter: &[Element]) -> DataTree {
    let mut found = DataTree::new();
    for element in filter {
        for (id, data) in fields.iter().filter(|(id, _)| names(schema, **id, element)) {
            debug_assert_eq!(schema.node(*id).parent, parent);
            if let Some(part) = part(schema, *id, data, element) {
                match found.get_mut(id) {
                    Some(old) => {
                        let mut both = DataTree::from([(*id, old.clone())]);
                        data::merge(&mut both, &DataTree::from([(*id, part)]));
                        found.extend(both);
                    }
                    None => {
                        found.insert(*id, part);
                    }
                }
            }
        }
    }
    found
}

fn names(schema: &Schema, id: NodeId, element: &Element) -> bool {
    let node = schema.node(id);
    node.name == element.name && (element.ns.is_empty() || schema.module_of(id).namespace == element.ns)
}

fn part(schema: &Schema, id: NodeId, data: &DataNode, element: &Element) -> Option<DataNode> {
    match data {
        DataNode::Leaf(value) => {
            let told = element.text();
            (told.is_empty() || value.to_string() == told).then(|| data.clone())
        }
        DataNode::LeafList(values) => {
            let told = element.text();
            let fits: std::collections::BTreeSet<_> =
                values.iter().filter(|value| told.is_empty() || value.to_string() == told).cloned().collect();
            (!fits.is_empty()).then_some(DataNode::LeafList(fits))
        }
        DataNode::Container(inner) => within(schema, id, inner, element).map(DataNode::Container),
        DataNode::List(entries) => {
            let kept: BTreeMap<_, _> = entries
                .iter()
                .filter_map(|(keys, inner)| Some((keys.clone(), within(schema, id, inner, element)?)))
                .collect();
            (!kept.is_empty()).then_some(DataNode::List(kept))
        }
    }
}

/// What is selected of one container or entry; none where a value that must match does not.
fn within(schema: &Schema, id: NodeId, inner: &DataTree, element: &Element) -> Option<DataTree> {
    if element.children.is_empty() {
        return Some(inner.clone());
    }
    let matches = |child: &&Element| child.children.is_empty() && !child.text().is_empty();
    let matched: Vec<&Element> = element.children.iter().filter(matches).collect();
    let holds = |child: &&Element| {
        let found = inner.iter().find(|(node, _)| names(schema, **node, child));
        found.is_some_and(|(node, data)| part(schema, *node, data, child).is_some())
    };
    if !matched.iter().all(holds) {
        return None;
    }
    if matched.len() == element.children.len() {
        return Some(inner.clone());
    }
    let mut found = subtree(schema, inner, Some(id), &element.children);
    if found.is_empty() {
        return None;
    }
    // What identifies an entry stays with it.
    for key in schema.keys(id) {
        if let Some(value) = inner.get(key) {
            found.insert(*key, value.clone());
        }
    }
    Some(found)
}

/// The paths of an expression; prefixes stand for namespaces, names without one for any.
pub fn patterns(
    schema: &Schema,
    expression: &str,
    prefixes: &Prefixes,
) -> Result<Vec<Pattern>, ManagementError> {
    let bad = |what: String| ManagementError::new(ErrorTag::InvalidValue, what).with_element("select");
    let paths: Vec<&str> = expression.split('|').map(str::trim).collect();
    if paths.len() > MAX_PATHS {
        return Err(bad(format!("more than {MAX_PATHS} paths")));
    }
    let read = |path: &str| {
        let mut plain = String::new();
        let mut quoted = None;
        let mut name = String::new();
        // Names bear the module's name in place of the prefix that stands for its namespace.
        let flush = |name: &mut String, plain: &mut String| -> Result<(), ManagementError> {
            if let Some((prefix, local)) = name.split_once(':') {
                let known = prefixes.get(prefix);
                let module = schema.modules().iter().find(|module| Some(&module.namespace) == known);
                let module = module.or_else(|| schema.modules().iter().find(|module| module.name == prefix));
                let module = module.ok_or_else(|| bad(format!("{prefix}: no such prefix")))?;
                plain.push_str(&format!("{}:{local}", module.name));
            } else {
                plain.push_str(name);
            }
            name.clear();
            Ok(())
        };
        for character in path.chars() {
            match (quoted, character) {
                (Some(quote), character) => {
                    plain.push(character);
                    if quote == character {
                        quoted = None;
                    }
                }
                (None, '\'' | '"') => {
                    flush(&mut name, &mut plain)?;
                    plain.push(character);
                    quoted = Some(character);
                }
                (None, '/' | '[' | ']' | '=' | ' ') => {
                    flush(&mut name, &mut plain)?;
                    plain.push(character);
                }
                (None, character) => name.push(character),
            }
        }
        flush(&mut name, &mut plain)?;
        Pattern::parse(schema, &plain).map_err(|error| bad(error.to_string()))
    };
    paths.into_iter().map(read).collect()
}

/// What the patterns select.
pub fn by_paths(fields: &DataTree, patterns: &[Pattern]) -> DataTree {
    let mut found = DataTree::new();
    patterns.iter().for_each(|pattern| data::merge(&mut found, &data::select_matching(fields, pattern)));
    found
}
