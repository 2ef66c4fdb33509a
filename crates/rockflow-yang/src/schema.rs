//! The schema tree: every node that the modules define, with its type, in the order in which it was written.

use crate::compiler;
use crate::error::ModelError;
use crate::types::{LeafType, Scalar};

/// Index of a node in its [`Schema`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u16);

/// Index of a module in its [`Schema`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModuleId(pub u8);

/// A YANG module.
#[derive(Clone, Debug)]
pub struct Module {
    /// Its name.
    pub name: String,
    /// Its XML namespace.
    pub namespace: String,
    /// The prefix that it gives itself.
    pub prefix: String,
    /// The date of its latest revision.
    pub revision: String,
    /// Its text, as it is published.
    pub text: String,
}

/// What a schema node is.
#[derive(Clone, Debug)]
pub enum NodeKind {
    /// A container.
    Container,
    /// A list.
    List {
        /// The leaves that name an entry.
        keys: Vec<NodeId>,
        /// Entries at the least (`min-elements`).
        min_elements: u64,
        /// Entries at the most (`max-elements`).
        max_elements: u64,
    },
    /// A leaf.
    Leaf {
        /// The type of its value.
        value_type: LeafType,
        /// The value that holds where none is configured.
        default: Option<Scalar>,
        /// Whether it must be there.
        mandatory: bool,
    },
    /// A leaf-list.
    LeafList {
        /// The type of its values.
        value_type: LeafType,
        /// Values at the least (`min-elements`).
        min_elements: u64,
        /// Values at the most (`max-elements`).
        max_elements: u64,
    },
    /// An operation of the model.
    Rpc,
    /// The parameters of an operation.
    Input,
    /// The results of an operation.
    Output,
    /// A notification.
    Notification,
}

/// A node of the schema tree.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its own index.
    pub id: NodeId,
    /// The node above it; none at the top.
    pub parent: Option<NodeId>,
    /// The module that defines it, which an augment's parent need not share.
    pub module: ModuleId,
    /// Its name, without a module.
    pub name: String,
    /// What it is.
    pub kind: NodeKind,
    /// Whether it is configuration; state otherwise, which nobody writes.
    pub config: bool,
    /// The unit of its values.
    pub units: Option<String>,
    /// Its description.
    pub description: String,
    /// The nodes below it.
    pub children: Vec<NodeId>,
}

/// Which nodes are taken into account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeScope {
    /// Only configuration.
    ConfigOnly,
    /// Configuration and state.
    ConfigAndState,
}

impl NodeScope {
    /// Whether the node is in the scope.
    pub fn includes(self, node: &Node) -> bool {
        node.config || self == NodeScope::ConfigAndState
    }
}

/// The compiled modules.
#[derive(Debug, Default)]
pub struct Schema {
    pub(crate) modules: Vec<Module>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) roots: Vec<NodeId>,
}

impl Schema {
    /// Compiles the published modules.
    ///
    /// # Panics
    /// If they can't be compiled. They are part of the program, so that this is a fault of the build.
    pub fn published() -> Schema {
        Schema::compile(&crate::PUBLISHED_MODULES)
            .unwrap_or_else(|error| panic!("published modules: {error}"))
    }

    /// Compiles modules, given by name and text. A module that others import from or augment stands ahead of them.
    ///
    /// A statement that is not supported is an error; none is passed over.
    pub fn compile(modules: &[(&str, &str)]) -> Result<Schema, ModelError> {
        compiler::compile(modules)
    }

    /// All modules, in the order in which they were given.
    pub fn modules(&self) -> &[Module] {
        &self.modules
    }

    /// All nodes, in the order in which they were written.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// The nodes at the top: data, operations and notifications.
    pub fn roots(&self) -> &[NodeId] {
        &self.roots
    }

    /// The node with that id.
    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[usize::from(id.0)]
    }

    /// The module with that id.
    pub fn module(&self, id: ModuleId) -> &Module {
        &self.modules[usize::from(id.0)]
    }

    /// The module that defines a node.
    pub fn module_of(&self, id: NodeId) -> &Module {
        self.module(self.node(id).module)
    }

    /// The module with that name.
    pub fn module_by_name(&self, name: &str) -> Option<ModuleId> {
        let position = self.modules.iter().position(|module| module.name == name);
        position.map(|position| ModuleId(position as u8))
    }

    /// The child of that name below `parent`, or at the top. Without `module` it may be of any.
    pub fn child(&self, parent: Option<NodeId>, module: Option<ModuleId>, name: &str) -> Option<NodeId> {
        let children = parent.map_or(&self.roots, |parent| &self.node(parent).children);
        let fits = |id: &&NodeId| {
            let node = self.node(**id);
            node.name == name && module.is_none_or(|module| module == node.module)
        };
        children.iter().find(fits).copied()
    }

    /// The node that the names lead to from the top, of any module.
    pub fn find(&self, names: &[&str]) -> Option<NodeId> {
        let mut found = None;
        for name in names {
            found = Some(self.child(found, None, name)?);
        }
        found
    }

    /// The names from the top to the node, each with its module where that changes (RFC 7951, section 6.11).
    pub fn schema_path(&self, id: NodeId) -> String {
        let node = self.node(id);
        let above = node.parent.map(|parent| self.schema_path(parent)).unwrap_or_default();
        format!("{above}/{}", self.qualified_name(id))
    }

    /// The node's name, with its module's unless its parent is of the same.
    pub fn qualified_name(&self, id: NodeId) -> String {
        let node = self.node(id);
        match node.parent.filter(|parent| self.node(*parent).module == node.module) {
            Some(_) => node.name.clone(),
            None => format!("{}:{}", self.module(node.module).name, node.name),
        }
    }

    /// Whether the node is a key of the list that it lies in.
    pub fn is_key(&self, id: NodeId) -> bool {
        self.node(id).parent.is_some_and(|parent| self.keys(parent).contains(&id))
    }

    /// The keys of a list; none for other nodes.
    pub fn keys(&self, id: NodeId) -> &[NodeId] {
        match &self.node(id).kind {
            NodeKind::List { keys, .. } => keys,
            _ => &[],
        }
    }

    /// The type of a leaf or leaf-list.
    pub fn type_of(&self, id: NodeId) -> Option<&LeafType> {
        match &self.node(id).kind {
            NodeKind::Leaf { value_type, .. } | NodeKind::LeafList { value_type, .. } => Some(value_type),
            _ => None,
        }
    }

    /// The default value of a leaf.
    pub fn default_of(&self, id: NodeId) -> Option<&Scalar> {
        match &self.node(id).kind {
            NodeKind::Leaf { default, .. } => default.as_ref(),
            _ => None,
        }
    }
}
