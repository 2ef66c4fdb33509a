//! Trees of values as XML (RFC 7950), and edits from it (RFC 6241, section 7.2).

use crate::ns;
use crate::xml::{Element, Writer};
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::{
    DataNode, DataTree, Edit, EditOperation, KeyValues, NodeId, NodeKind, NodeScope, Path, Scalar, Schema,
};
use std::collections::{BTreeMap, BTreeSet};

/// What is told beside the values.
#[derive(Clone, Copy, Debug, Default)]
pub struct Annotations {
    /// Values that are the default's bear `wd:default` (RFC 6243, report-all-tagged).
    pub tag_defaults: bool,
    /// Where each part comes from (RFC 8526, with-origin).
    pub origin: bool,
}

/// The values below `parent`, as its content.
pub fn write(
    schema: &Schema,
    fields: &DataTree,
    parent: Option<NodeId>,
    notes: Annotations,
    out: &mut Writer,
) {
    for (id, data) in fields {
        let node = schema.node(*id);
        let own = parent.is_none_or(|parent| schema.node(parent).module != node.module);
        let mut attributes: Vec<(&str, &str)> = Vec::new();
        if own {
            attributes.push(("xmlns", &schema.module_of(*id).namespace));
        }
        if notes.origin && node.config && own {
            attributes.extend([("xmlns:or", ns::ORIGIN), ("or:origin", "or:intended")]);
        }
        match data {
            DataNode::Leaf(value) => {
                if notes.tag_defaults && schema.default_of(*id) == Some(value) {
                    attributes.extend([("xmlns:wd", ns::DEFAULT_TAG), ("wd:default", "true")]);
                }
                out.leaf(&node.name, &attributes, &value.to_string());
            }
            DataNode::LeafList(values) => {
                values.iter().for_each(|value| out.leaf(&node.name, &attributes, &value.to_string()))
            }
            DataNode::Container(inner) => {
                out.open(&node.name, &attributes);
                write(schema, inner, Some(*id), notes, out);
                out.close(&node.name);
            }
            DataNode::List(entries) => {
                for (keys, inner) in entries {
                    out.open(&node.name, &attributes);
                    // Keys come first (RFC 7950, section 7.8.5).
                    for (key, value) in schema.keys(*id).iter().zip(keys) {
                        out.leaf(&schema.node(*key).name, &[], &value.to_string());
                    }
                    let rest = inner.iter().filter(|(child, _)| !schema.is_key(**child));
                    let rest = rest.map(|(child, data)| (*child, data.clone())).collect();
                    write(schema, &rest, Some(*id), notes, out);
                    out.close(&node.name);
                }
            }
        }
    }
}

/// The node that an element names below `parent`.
pub fn node_of(
    schema: &Schema,
    parent: Option<NodeId>,
    element: &Element,
) -> Result<NodeId, ManagementError> {
    let module = schema.modules().iter().position(|module| module.namespace == element.ns);
    let Some(module) = module else {
        let message = format!("{}: no such namespace", element.ns);
        return Err(ManagementError::new(ErrorTag::UnknownNamespace, message).with_element(&element.name));
    };
    let module = rockflow_yang::ModuleId(module as u8);
    schema.child(parent, Some(module), &element.name).ok_or_else(|| {
        ManagementError::new(ErrorTag::UnknownElement, format!("{}: no such node", element.name))
            .with_element(&element.name)
    })
}

fn scalar(schema: &Schema, node: NodeId, element: &Element, path: &Path) -> Result<Scalar, ManagementError> {
    let of = schema.type_of(node);
    let of =
        of.ok_or_else(|| ManagementError::new(ErrorTag::InvalidValue, "holds no value").with_path(path))?;
    if !element.children.is_empty() {
        return Err(ManagementError::new(ErrorTag::UnknownElement, "a value is wanted")
            .with_path(path)
            .with_element(&element.name));
    }
    let text =
        if matches!(of, rockflow_yang::LeafType::Text { .. }) { &element.text } else { element.text() };
    of.parse(text).map_err(|what| {
        let message = format!("{}: {what}", element.name);
        ManagementError::new(ErrorTag::InvalidValue, message).with_path(path).with_element(&element.name)
    })
}

/// The keys of an entry, each told once.
fn keys_of(
    schema: &Schema,
    list: NodeId,
    element: &Element,
    path: &Path,
) -> Result<KeyValues, ManagementError> {
    let key = |key: &NodeId| {
        let name = &schema.node(*key).name;
        let mut told = element.children.iter().filter(|child| child.name == *name);
        let (Some(child), None) = (told.next(), told.next()) else {
            let message = format!("the key {name} must stand once");
            return Err(ManagementError::new(ErrorTag::MissingElement, message)
                .with_path(path)
                .with_element(name));
        };
        scalar(schema, *key, child, path)
    };
    schema.keys(list).iter().map(key).collect()
}

/// Reads content as values, all of one operation. `state`: what can't be written is read too.
pub fn read(
    schema: &Schema,
    parent: Option<NodeId>,
    elements: &[Element],
    at: &Path,
    scope: NodeScope,
) -> Result<DataTree, ManagementError> {
    let mut fields = DataTree::new();
    for element in elements {
        let id = node_of(schema, parent, element)?;
        let node = schema.node(id);
        let here = at.child(id, Vec::new());
        if !scope.includes(node) {
            return Err(ManagementError::new(ErrorTag::InvalidValue, "is state, which can't be written")
                .with_path(&here));
        }
        let twice = || {
            ManagementError::new(ErrorTag::BadElement, "stands twice")
                .with_path(&here)
                .with_element(&element.name)
        };
        match &node.kind {
            NodeKind::Leaf { .. } => {
                let value = scalar(schema, id, element, &here)?;
                if fields.insert(id, DataNode::Leaf(value)).is_some() {
                    return Err(twice());
                }
            }
            NodeKind::LeafList { .. } => {
                let value = scalar(schema, id, element, &here)?;
                let values = fields.entry(id).or_insert_with(|| DataNode::LeafList(BTreeSet::new()));
                let DataNode::LeafList(values) = values else { return Err(twice()) };
                if !values.insert(value) {
                    return Err(twice());
                }
            }
            NodeKind::List { .. } => {
                let keys = keys_of(schema, id, element, &here)?;
                let entry = at.child(id, keys.clone());
                let inner = read(schema, Some(id), &element.children, &entry, scope)?;
                let entries = fields.entry(id).or_insert_with(|| DataNode::List(BTreeMap::new()));
                let DataNode::List(entries) = entries else { return Err(twice()) };
                if entries.insert(keys, inner).is_some() {
                    return Err(twice());
                }
            }
            _ => {
                let inner = read(schema, Some(id), &element.children, &here, scope)?;
                if fields.insert(id, DataNode::Container(inner)).is_some() {
                    return Err(twice());
                }
            }
        }
    }
    Ok(fields)
}

/// Reads the content of `<config>` as edits, in their order.
pub fn edits(
    schema: &Schema,
    config: &Element,
    default: EditOperation,
) -> Result<Vec<Edit>, ManagementError> {
    let mut edits = Vec::new();
    children(schema, None, config, &Path::default(), default, &mut edits)?;
    Ok(edits)
}

fn operation(
    element: &Element,
    otherwise: EditOperation,
    path: &Path,
) -> Result<(EditOperation, bool), ManagementError> {
    let op = match element.attribute(ns::BASE, "operation") {
        None => return Ok((otherwise, false)),
        Some("merge") => EditOperation::Merge,
        Some("replace") => EditOperation::Replace,
        Some("create") => EditOperation::Create,
        Some("delete") => EditOperation::Delete,
        Some("remove") => EditOperation::Remove,
        Some(other) => {
            let message = format!("{other}: no such operation");
            return Err(ManagementError::new(ErrorTag::BadAttribute, message)
                .with_path(path)
                .with_element(&element.name));
        }
    };
    Ok((op, true))
}

fn children(
    schema: &Schema,
    parent: Option<NodeId>,
    element: &Element,
    at: &Path,
    op: EditOperation,
    edits: &mut Vec<Edit>,
) -> Result<(), ManagementError> {
    for child in &element.children {
        one(schema, parent, child, at, op, edits)?;
    }
    Ok(())
}

fn one(
    schema: &Schema,
    parent: Option<NodeId>,
    element: &Element,
    at: &Path,
    above: EditOperation,
    edits: &mut Vec<Edit>,
) -> Result<(), ManagementError> {
    let id = node_of(schema, parent, element)?;
    let kind = &schema.node(id).kind;
    let keys = match kind {
        NodeKind::List { .. } => keys_of(schema, id, element, &at.child(id, Vec::new()))?,
        NodeKind::LeafList { .. } => vec![scalar(schema, id, element, &at.child(id, Vec::new()))?],
        _ => Vec::new(),
    };
    let path = at.child(id, keys);
    let (op, _) = operation(element, above, &path)?;
    let whole = matches!(op, EditOperation::Replace | EditOperation::Create);
    let value = match kind {
        NodeKind::Leaf { .. } if matches!(op, EditOperation::Delete | EditOperation::Remove) => None,
        NodeKind::Leaf { .. } => Some(DataNode::Leaf(scalar(schema, id, element, &path)?)),
        NodeKind::LeafList { .. } => None,
        NodeKind::Container | NodeKind::List { .. } if whole => {
            plain(&element.children, &path)?;
            Some(DataNode::Container(read(
                schema,
                Some(id),
                &element.children,
                &path,
                NodeScope::ConfigOnly,
            )?))
        }
        NodeKind::Container | NodeKind::List { .. } => None,
        _ => {
            return Err(ManagementError::new(ErrorTag::UnknownElement, "no configuration")
                .with_element(&element.name))
        }
    };
    let leaf = matches!(kind, NodeKind::Leaf { .. } | NodeKind::LeafList { .. });
    match op {
        // Nothing is asked of a leaf that only shows the way.
        EditOperation::AssertExists if leaf => {}
        // A container is there where anything in it is; entries are there by themselves.
        EditOperation::Merge | EditOperation::AssertExists if matches!(kind, NodeKind::Container) => {
            children(schema, Some(id), element, &path, op, edits)?;
        }
        EditOperation::Merge | EditOperation::AssertExists if !leaf => {
            let value = (op == EditOperation::Merge).then(|| DataNode::Container(DataTree::new()));
            edits.push(Edit { path: path.clone(), op, value });
            for child in &element.children {
                let inner = node_of(schema, Some(id), child)?;
                if !schema.is_key(inner) {
                    one(schema, Some(id), child, &path, op, edits)?;
                } else if operation(child, EditOperation::Merge, &path)?.1 {
                    let message = "a key bears no operation of its own";
                    return Err(ManagementError::new(ErrorTag::BadAttribute, message)
                        .with_path(&path)
                        .with_element(&child.name));
                }
            }
        }
        _ => {
            edits.push(Edit { path, op, value });
        }
    }
    Ok(())
}

/// Guards against an operation within what is replaced or created as a whole, which would have no clear order.
fn plain(elements: &[Element], path: &Path) -> Result<(), ManagementError> {
    for element in elements {
        if let Some(op) = element.attribute(ns::BASE, "operation") {
            if !matches!(op, "merge" | "replace" | "create") {
                let message = format!("{op} within what is replaced or created as a whole");
                return Err(ManagementError::new(ErrorTag::BadAttribute, message)
                    .with_path(path)
                    .with_element(&element.name));
            }
        }
        plain(&element.children, path)?;
    }
    Ok(())
}
