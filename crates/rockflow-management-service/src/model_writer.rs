//! Builds data trees whose nodes are named as in the YANG model.

use rockflow_yang::{DataNode, DataTree, NodeId, Scalar, Schema};
use std::collections::{BTreeMap, BTreeSet};

/// Builds the children of one container or list entry.
///
/// # Panics
/// All methods panic if the model has no node of the given name. That is a mismatch between the program and
/// its model, which the tests detect.
pub(crate) struct ModelWriter<'a> {
    schema: &'a Schema,
    node: NodeId,
    fields: DataTree,
}

impl<'a> ModelWriter<'a> {
    /// Creates a writer for the container at the path.
    pub(crate) fn new(schema: &'a Schema, names: &[&str]) -> ModelWriter<'a> {
        let node = schema.find(names).unwrap_or_else(|| panic!("the model has no node {names:?}"));
        ModelWriter::below(schema, node)
    }

    /// Creates a writer for the container or list entry at `node`.
    pub(crate) fn below(schema: &'a Schema, node: NodeId) -> ModelWriter<'a> {
        ModelWriter { schema, node, fields: DataTree::new() }
    }

    /// Returns the children written so far.
    pub(crate) fn into_fields(self) -> DataTree {
        self.fields
    }

    pub(crate) fn leaf(&mut self, name: &str, value: Scalar) {
        self.fields.insert(self.child(name), DataNode::Leaf(value));
    }

    pub(crate) fn text(&mut self, name: &str, value: impl Into<String>) {
        self.leaf(name, Scalar::Text(value.into()));
    }

    pub(crate) fn number(&mut self, name: &str, value: u64) {
        self.leaf(name, Scalar::Unsigned(value));
    }

    /// Writes a leaf if it has a value.
    pub(crate) fn optional(&mut self, name: &str, value: Option<Scalar>) {
        if let Some(value) = value {
            self.leaf(name, value);
        }
    }

    pub(crate) fn leaf_list(&mut self, name: &str, values: BTreeSet<Scalar>) {
        if !values.is_empty() {
            self.fields.insert(self.child(name), DataNode::LeafList(values));
        }
    }

    pub(crate) fn container(&mut self, name: &str, fill: impl FnOnce(&mut ModelWriter<'_>)) {
        let mut inner = ModelWriter::below(self.schema, self.child(name));
        fill(&mut inner);
        self.fields.insert(inner.node, DataNode::Container(inner.fields));
    }

    /// Writes the entries of a list; `fill` must also set each entry's key leaves.
    pub(crate) fn list<T>(
        &mut self,
        name: &str,
        entries: impl IntoIterator<Item = T>,
        mut fill: impl FnMut(&mut ModelWriter<'_>, T),
    ) {
        let node = self.child(name);
        let mut written = BTreeMap::new();
        for entry in entries {
            let mut inner = ModelWriter::below(self.schema, node);
            fill(&mut inner, entry);
            let key = |key: &NodeId| inner.fields.get(key).and_then(DataNode::scalar).cloned();
            let keys: Option<Vec<_>> = self.schema.keys(node).iter().map(key).collect();
            written.insert(keys.unwrap_or_default(), inner.fields);
        }
        if !written.is_empty() {
            self.fields.insert(node, DataNode::List(written));
        }
    }

    fn child(&self, name: &str) -> NodeId {
        let child = self.schema.child(Some(self.node), None, name);
        child.unwrap_or_else(|| panic!("{} has no child {name}", self.schema.schema_path(self.node)))
    }
}
