//! Selection of a part of a data tree by a subtree filter (RFC 6241, section 6) or by a subset of XPath.
//!
//! The XPath subset has absolute paths with predicates that compare list keys to literals. A key that is left
//! out or compared to `*` matches every value. Several paths are joined by `|`.

use crate::xml::{Element, Prefixes};
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::{data, DataNode, DataTree, NodeId, Pattern, Schema};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of paths in one filter.
pub const MAX_PATHS: usize = 64;

/// Returns the part of `tree` that the elements of a subtree filter select. The nodes of `tree` are children
/// of `parent`.
pub fn subtree(schema: &Schema, tree: &DataTree, parent: Option<NodeId>, filter: &[Element]) -> DataTree {
    let mut selected = DataTree::new();
    for element in filter {
        for (id, data) in tree.iter().filter(|(id, _)| is_named(schema, **id, element)) {
            debug_assert_eq!(schema.node(*id).parent, parent);
            if let Some(part) = select_node(schema, *id, data, element) {
                data::merge(&mut selected, &DataTree::from([(*id, part)]));
            }
        }
    }
    selected
}

/// Returns whether the element names the node. An element without a namespace matches nodes of every module.
fn is_named(schema: &Schema, id: NodeId, element: &Element) -> bool {
    let node = schema.node(id);
    node.name == element.name && (element.ns.is_empty() || schema.module_of(id).namespace == element.ns)
}

fn select_node(schema: &Schema, id: NodeId, data: &DataNode, element: &Element) -> Option<DataNode> {
    let expected = element.text();
    match data {
        DataNode::Leaf(value) => (expected.is_empty() || value.to_string() == expected).then(|| data.clone()),
        DataNode::LeafList(values) => {
            let matching = values.iter().filter(|value| expected.is_empty() || value.to_string() == expected);
            let matching: BTreeSet<_> = matching.cloned().collect();
            (!matching.is_empty()).then_some(DataNode::LeafList(matching))
        }
        DataNode::Container(inner) => select_within(schema, id, inner, element).map(DataNode::Container),
        DataNode::List(entries) => {
            let mut matching = BTreeMap::new();
            for (keys, entry) in entries {
                if let Some(selected) = select_within(schema, id, entry, element) {
                    matching.insert(keys.clone(), selected);
                }
            }
            (!matching.is_empty()).then_some(DataNode::List(matching))
        }
    }
}

/// Selects from one container or list entry. Returns `None` if a content match node (RFC 6241, section 6.2.5)
/// does not match or nothing is selected.
fn select_within(schema: &Schema, id: NodeId, inner: &DataTree, element: &Element) -> Option<DataTree> {
    if element.children.is_empty() {
        return Some(inner.clone());
    }
    let is_content_match = |child: &&Element| child.children.is_empty() && !child.text().is_empty();
    let content_matches: Vec<&Element> = element.children.iter().filter(is_content_match).collect();
    let matches = |child: &&Element| {
        let candidate = inner.iter().find(|(node, _)| is_named(schema, **node, child));
        candidate.is_some_and(|(node, data)| select_node(schema, *node, data, child).is_some())
    };
    if !content_matches.iter().all(matches) {
        return None;
    }
    if content_matches.len() == element.children.len() {
        return Some(inner.clone());
    }
    let mut selected = subtree(schema, inner, Some(id), &element.children);
    if selected.is_empty() {
        return None;
    }
    // A selected list entry always includes its keys.
    for key in schema.keys(id) {
        if let Some(value) = inner.get(key) {
            selected.insert(*key, value.clone());
        }
    }
    Some(selected)
}

/// Parses the paths of an XPath expression. A name without a prefix matches nodes of every module.
pub fn patterns(
    schema: &Schema,
    expression: &str,
    prefixes: &Prefixes,
) -> Result<Vec<Pattern>, ManagementError> {
    let paths: Vec<&str> = expression.split('|').map(str::trim).collect();
    if paths.len() > MAX_PATHS {
        return Err(invalid(format!("more than {MAX_PATHS} paths")));
    }
    let parse = |path: &str| {
        let qualified = qualify_names(schema, path, prefixes)?;
        Pattern::parse(schema, &qualified).map_err(|error| invalid(error.to_string()))
    };
    paths.into_iter().map(parse).collect()
}

fn invalid(message: String) -> ManagementError {
    ManagementError::new(ErrorTag::InvalidValue, message).with_element("select")
}

/// Replaces each prefix in the path by the name of the module whose namespace the prefix is bound to.
fn qualify_names(schema: &Schema, path: &str, prefixes: &Prefixes) -> Result<String, ManagementError> {
    let mut qualified = String::new();
    let mut name = String::new();
    let mut open_quote = None;
    for character in path.chars() {
        match (open_quote, character) {
            (Some(quote), character) => {
                qualified.push(character);
                if quote == character {
                    open_quote = None;
                }
            }
            (None, '\'' | '"') => {
                qualified += &qualify_name(schema, &name, prefixes)?;
                name.clear();
                qualified.push(character);
                open_quote = Some(character);
            }
            (None, '/' | '[' | ']' | '=' | ' ') => {
                qualified += &qualify_name(schema, &name, prefixes)?;
                name.clear();
                qualified.push(character);
            }
            (None, character) => name.push(character),
        }
    }
    qualified += &qualify_name(schema, &name, prefixes)?;
    Ok(qualified)
}

fn qualify_name(schema: &Schema, name: &str, prefixes: &Prefixes) -> Result<String, ManagementError> {
    let Some((prefix, local)) = name.split_once(':') else { return Ok(name.to_string()) };
    let namespace = prefixes.get(prefix);
    let module = schema.modules().iter().find(|module| Some(&module.namespace) == namespace);
    let module = module.or_else(|| schema.modules().iter().find(|module| module.name == prefix));
    let module = module.ok_or_else(|| invalid(format!("{prefix}: no such prefix")))?;
    Ok(format!("{}:{local}", module.name))
}

/// Returns the part of `tree` that matches at least one of the patterns.
pub fn by_paths(tree: &DataTree, patterns: &[Pattern]) -> DataTree {
    let mut selected = DataTree::new();
    for pattern in patterns {
        data::merge(&mut selected, &data::select_matching(tree, pattern));
    }
    selected
}
