//! Writing data under the names of the model.

use rockflow_yang::{DataNode, DataTree, NodeId, Scalar, Schema};
use std::collections::{BTreeMap, BTreeSet};

/// Writes the children of one container or list entry.
///
/// # Panics
/// All methods panic where the model lacks the name: the program and its model do not fit, which tests show.
pub(crate) struct ModelWriter<'a> {
    schema: &'a Schema,
    node: NodeId,
    fields: DataTree,
}

impl<'a> ModelWriter<'a> {
    /// A writer of the container of that path.
    pub(crate) fn new(schema: &'a Schema, names: &[&str]) -> ModelWriter<'a> {
        let node = schema.find(names).unwrap_or_else(|| panic!("the model lacks {names:?}"));
        ModelWriter::below(schema, node)
    }

    /// A writer of that container or list entry.
    pub(crate) fn below(schema: &'a Schema, node: NodeId) -> ModelWriter<'a> {
        ModelWriter { schema, node, fields: DataTree::new() }
    }

    /// What was written.
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

    /// A leaf that may be absent.
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

    /// The entries of a list; `fill` sets each entry's keys too.
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
        child.unwrap_or_else(|| panic!("{} lacks {name}", self.schema.schema_path(self.node)))
    }
}
