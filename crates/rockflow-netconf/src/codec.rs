//! Conversion between data trees and XML (RFC 7950), and parsing of the edits in a `<config>` element (RFC
//! 6241, section 7.2).

use crate::ns;
use crate::xml::{Element, Writer};
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::{
    DataNode, DataTree, Edit, EditOperation, KeyValues, LeafType, NodeId, NodeKind, NodeScope, Path, Scalar,
    Schema,
};
use std::collections::{BTreeMap, BTreeSet};

/// Selects the metadata attributes that are written with the data nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Annotations {
    /// Whether values equal to their default get the attribute `wd:default` (RFC 6243, report-all-tagged).
    pub tag_defaults: bool,
    /// Whether configuration nodes get the attribute `or:origin` (RFC 8526, with-origin). Child nodes of the
    /// same module inherit it.
    pub origin: bool,
}

/// Writes the nodes of `tree`, which are children of `parent`, or top-level nodes if it is `None`.
pub fn write(
    schema: &Schema,
    tree: &DataTree,
    parent: Option<NodeId>,
    annotations: Annotations,
    out: &mut Writer,
) {
    for (id, data) in tree {
        let node = schema.node(*id);
        let changes_module = parent.is_none_or(|parent| schema.node(parent).module != node.module);
        let mut attributes: Vec<(&str, &str)> = Vec::new();
        if changes_module {
            attributes.push(("xmlns", &schema.module_of(*id).namespace));
        }
        if annotations.origin && node.config && changes_module {
            attributes.extend([("xmlns:or", ns::ORIGIN), ("or:origin", "or:intended")]);
        }
        match data {
            DataNode::Leaf(value) => {
                if annotations.tag_defaults && schema.default_of(*id) == Some(value) {
                    attributes.extend([("xmlns:wd", ns::DEFAULT_TAG), ("wd:default", "true")]);
                }
                out.leaf(&node.name, &attributes, &value.to_string());
            }
            DataNode::LeafList(values) => {
                for value in values {
                    out.leaf(&node.name, &attributes, &value.to_string());
                }
            }
            DataNode::Container(inner) => {
                out.open(&node.name, &attributes);
                write(schema, inner, Some(*id), annotations, out);
                out.close(&node.name);
            }
            DataNode::List(entries) => {
                for (keys, entry) in entries {
                    out.open(&node.name, &attributes);
                    write_entry(schema, *id, keys, entry, annotations, out);
                    out.close(&node.name);
                }
            }
        }
    }
}

/// Writes the content of a list entry, with the keys first (RFC 7950, section 7.8.5).
fn write_entry(
    schema: &Schema,
    list: NodeId,
    keys: &KeyValues,
    entry: &DataTree,
    annotations: Annotations,
    out: &mut Writer,
) {
    for (key, value) in schema.keys(list).iter().zip(keys) {
        out.leaf(&schema.node(*key).name, &[], &value.to_string());
    }
    let others = entry.iter().filter(|(child, _)| !schema.is_key(**child));
    let others = others.map(|(child, data)| (*child, data.clone())).collect();
    write(schema, &others, Some(list), annotations, out);
}

/// Finds the schema node for an element among the children of `parent`, or among the top-level nodes if it is
/// `None`.
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

/// Parses the value of a leaf or of a leaf-list entry.
fn scalar(schema: &Schema, node: NodeId, element: &Element, path: &Path) -> Result<Scalar, ManagementError> {
    let value_type = schema
        .type_of(node)
        .ok_or_else(|| ManagementError::new(ErrorTag::InvalidValue, "holds no value").with_path(path))?;
    if !element.children.is_empty() {
        return Err(ManagementError::new(ErrorTag::UnknownElement, "a value is wanted")
            .with_path(path)
            .with_element(&element.name));
    }
    let text = if matches!(value_type, LeafType::Text { .. }) { &element.text } else { element.text() };
    value_type.parse(text).map_err(|error| {
        let message = format!("{}: {error}", element.name);
        ManagementError::new(ErrorTag::InvalidValue, message).with_path(path).with_element(&element.name)
    })
}

/// Parses the keys of a list entry. Each key must occur exactly once.
fn keys_of(
    schema: &Schema,
    list: NodeId,
    element: &Element,
    path: &Path,
) -> Result<KeyValues, ManagementError> {
    let parse_key = |key: &NodeId| {
        let name = &schema.node(*key).name;
        let mut found = element.children.iter().filter(|child| child.name == *name);
        let (Some(child), None) = (found.next(), found.next()) else {
            let message = format!("the key {name} must stand once");
            return Err(ManagementError::new(ErrorTag::MissingElement, message)
                .with_path(path)
                .with_element(name));
        };
        scalar(schema, *key, child, path)
    };
    schema.keys(list).iter().map(parse_key).collect()
}

/// Parses elements as child nodes of `parent`, whose path is `parent_path`. State nodes are rejected unless
/// `scope` includes them.
pub fn read(
    schema: &Schema,
    parent: Option<NodeId>,
    elements: &[Element],
    parent_path: &Path,
    scope: NodeScope,
) -> Result<DataTree, ManagementError> {
    let mut tree = DataTree::new();
    for element in elements {
        let id = node_of(schema, parent, element)?;
        let path = parent_path.child(id, Vec::new());
        if !scope.includes(schema.node(id)) {
            let error = ManagementError::new(ErrorTag::InvalidValue, "is state, which can't be written");
            return Err(error.with_path(&path));
        }
        let is_new = match &schema.node(id).kind {
            NodeKind::Leaf { .. } => {
                let value = scalar(schema, id, element, &path)?;
                tree.insert(id, DataNode::Leaf(value)).is_none()
            }
            NodeKind::LeafList { .. } => {
                let value = scalar(schema, id, element, &path)?;
                match tree.entry(id).or_insert_with(|| DataNode::LeafList(BTreeSet::new())) {
                    DataNode::LeafList(values) => values.insert(value),
                    _ => false,
                }
            }
            NodeKind::List { .. } => {
                let keys = keys_of(schema, id, element, &path)?;
                let entry_path = parent_path.child(id, keys.clone());
                let entry = read(schema, Some(id), &element.children, &entry_path, scope)?;
                match tree.entry(id).or_insert_with(|| DataNode::List(BTreeMap::new())) {
                    DataNode::List(entries) => entries.insert(keys, entry).is_none(),
                    _ => false,
                }
            }
            _ => {
                let inner = read(schema, Some(id), &element.children, &path, scope)?;
                tree.insert(id, DataNode::Container(inner)).is_none()
            }
        };
        if !is_new {
            let error = ManagementError::new(ErrorTag::BadElement, "stands twice");
            return Err(error.with_path(&path).with_element(&element.name));
        }
    }
    Ok(tree)
}

/// Parses the content of `<config>` into edits in document order. `default` is the operation of elements that
/// neither have nor inherit an `operation` attribute.
pub fn edits(
    schema: &Schema,
    config: &Element,
    default: EditOperation,
) -> Result<Vec<Edit>, ManagementError> {
    let mut reader = EditReader { schema, edits: Vec::new() };
    reader.read_children(None, config, &Path::default(), default)?;
    Ok(reader.edits)
}

/// Parses the `operation` attribute of an element, if it has one.
fn own_operation(element: &Element, path: &Path) -> Result<Option<EditOperation>, ManagementError> {
    match element.attribute(ns::BASE, "operation") {
        None => Ok(None),
        Some("merge") => Ok(Some(EditOperation::Merge)),
        Some("replace") => Ok(Some(EditOperation::Replace)),
        Some("create") => Ok(Some(EditOperation::Create)),
        Some("delete") => Ok(Some(EditOperation::Delete)),
        Some("remove") => Ok(Some(EditOperation::Remove)),
        Some(other) => {
            let error = ManagementError::new(ErrorTag::BadAttribute, format!("{other}: no such operation"));
            Err(error.with_path(path).with_element(&element.name))
        }
    }
}

/// Collects the edits while the elements of a `<config>` are read recursively.
struct EditReader<'a> {
    schema: &'a Schema,
    edits: Vec<Edit>,
}

impl EditReader<'_> {
    fn read_children(
        &mut self,
        parent: Option<NodeId>,
        element: &Element,
        path: &Path,
        op: EditOperation,
    ) -> Result<(), ManagementError> {
        for child in &element.children {
            self.read_element(parent, child, path, op)?;
        }
        Ok(())
    }

    /// Reads one element and its descendants. `inherited` is the operation of the enclosing element.
    fn read_element(
        &mut self,
        parent: Option<NodeId>,
        element: &Element,
        parent_path: &Path,
        inherited: EditOperation,
    ) -> Result<(), ManagementError> {
        let schema = self.schema;
        let id = node_of(schema, parent, element)?;
        let kind = &schema.node(id).kind;
        let keys = match kind {
            NodeKind::List { .. } => keys_of(schema, id, element, &parent_path.child(id, Vec::new()))?,
            NodeKind::LeafList { .. } => {
                vec![scalar(schema, id, element, &parent_path.child(id, Vec::new()))?]
            }
            _ => Vec::new(),
        };
        let path = parent_path.child(id, keys);
        let op = own_operation(element, &path)?.unwrap_or(inherited);
        let value = self.value_of(id, element, &path, op)?;
        let is_leaf = matches!(kind, NodeKind::Leaf { .. } | NodeKind::LeafList { .. });
        match op {
            // With the default operation `none`, leaves without an operation are not required to exist.
            EditOperation::AssertExists if is_leaf => Ok(()),
            // A container exists if any of its content exists, so it needs no edit. A list entry may exist
            // without content.
            EditOperation::Merge | EditOperation::AssertExists if matches!(kind, NodeKind::Container) => {
                self.read_children(Some(id), element, &path, op)
            }
            EditOperation::Merge | EditOperation::AssertExists if !is_leaf => {
                self.read_entry(id, element, path, op)
            }
            _ => {
                self.edits.push(Edit { path, op, value });
                Ok(())
            }
        }
    }

    /// Returns the value of the edit for an element: the value of a leaf, or the whole subtree of a container
    /// or list entry that is replaced or created. Other edits have no value.
    fn value_of(
        &self,
        id: NodeId,
        element: &Element,
        path: &Path,
        op: EditOperation,
    ) -> Result<Option<DataNode>, ManagementError> {
        let has_subtree = matches!(op, EditOperation::Replace | EditOperation::Create);
        match &self.schema.node(id).kind {
            NodeKind::Leaf { .. } if matches!(op, EditOperation::Delete | EditOperation::Remove) => Ok(None),
            NodeKind::Leaf { .. } => Ok(Some(DataNode::Leaf(scalar(self.schema, id, element, path)?))),
            NodeKind::LeafList { .. } => Ok(None),
            NodeKind::Container | NodeKind::List { .. } if has_subtree => {
                check_no_deletes(&element.children, path)?;
                let inner = read(self.schema, Some(id), &element.children, path, NodeScope::ConfigOnly)?;
                Ok(Some(DataNode::Container(inner)))
            }
            NodeKind::Container | NodeKind::List { .. } => Ok(None),
            _ => {
                let error = ManagementError::new(ErrorTag::UnknownElement, "no configuration");
                Err(error.with_element(&element.name))
            }
        }
    }

    /// Reads a list entry that is merged or must exist: adds an edit for the entry, then the edits for its
    /// children.
    fn read_entry(
        &mut self,
        list: NodeId,
        element: &Element,
        path: Path,
        op: EditOperation,
    ) -> Result<(), ManagementError> {
        let value = (op == EditOperation::Merge).then(|| DataNode::Container(DataTree::new()));
        self.edits.push(Edit { path: path.clone(), op, value });
        for child in &element.children {
            let inner = node_of(self.schema, Some(list), child)?;
            if !self.schema.is_key(inner) {
                self.read_element(Some(list), child, &path, op)?;
            } else if own_operation(child, &path)?.is_some() {
                let error =
                    ManagementError::new(ErrorTag::BadAttribute, "a key bears no operation of its own");
                return Err(error.with_path(&path).with_element(&child.name));
            }
        }
        Ok(())
    }
}

/// Rejects delete and remove operations inside a subtree that is replaced or created, because their order
/// relative to the enclosing operation is not defined.
fn check_no_deletes(elements: &[Element], path: &Path) -> Result<(), ManagementError> {
    for element in elements {
        if let Some(op) = element.attribute(ns::BASE, "operation") {
            if !matches!(op, "merge" | "replace" | "create") {
                let message = format!("{op} within what is replaced or created as a whole");
                return Err(ManagementError::new(ErrorTag::BadAttribute, message)
                    .with_path(path)
                    .with_element(&element.name));
            }
        }
        check_no_deletes(&element.children, path)?;
    }
    Ok(())
}
