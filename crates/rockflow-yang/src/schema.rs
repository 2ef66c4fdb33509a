//! The schema tree: all nodes that the modules define, in the order of the modules' text.

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
    /// The module's name.
    pub name: String,
    /// The module's XML namespace.
    pub namespace: String,
    /// The prefix that the module declares for itself.
    pub prefix: String,
    /// The date of its latest revision.
    pub revision: String,
    /// The module's YANG source text.
    pub text: String,
}

/// The kind of a schema node, with the properties that only that kind has.
#[derive(Clone, Debug)]
pub enum NodeKind {
    /// A `container` statement.
    Container,
    /// A `list` statement.
    List {
        /// The key leaves, in the order of the `key` statement.
        keys: Vec<NodeId>,
        /// Minimum number of entries (`min-elements`).
        min_elements: u64,
        /// Maximum number of entries (`max-elements`); `u64::MAX` if unbounded.
        max_elements: u64,
    },
    /// A `leaf` statement.
    Leaf {
        /// The type of its value.
        value_type: LeafType,
        /// The value in effect if none is configured; `None` if the leaf has no default.
        default: Option<Scalar>,
        /// Whether every instance of the parent must have this leaf.
        mandatory: bool,
    },
    /// A `leaf-list` statement.
    LeafList {
        /// The type of its values.
        value_type: LeafType,
        /// Minimum number of values (`min-elements`).
        min_elements: u64,
        /// Maximum number of values (`max-elements`); `u64::MAX` if unbounded.
        max_elements: u64,
    },
    /// An `rpc` statement: an operation that clients may call.
    Rpc,
    /// The `input` of an operation: its parameters.
    Input,
    /// The `output` of an operation: its results.
    Output,
    /// A `notification` statement.
    Notification,
}

/// A node of the schema tree.
#[derive(Clone, Debug)]
pub struct Node {
    /// The node's own index in the schema.
    pub id: NodeId,
    /// The parent node; `None` at the top level.
    pub parent: Option<NodeId>,
    /// The module that defines the node. It may differ from the parent's module, if that was augmented.
    pub module: ModuleId,
    /// The node's name, without a module prefix.
    pub name: String,
    /// The kind of the node.
    pub kind: NodeKind,
    /// Whether the node is configuration. Otherwise it is state, which clients can't write.
    pub config: bool,
    /// The unit of the values; `None` if the module states none.
    pub units: Option<String>,
    /// The text of the `description` statement; empty if there is none.
    pub description: String,
    /// The child nodes, in the order of the module's text; nodes from augments come last.
    pub children: Vec<NodeId>,
}

/// Selects whether state nodes are included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeScope {
    /// Configuration nodes only.
    ConfigOnly,
    /// Configuration and state nodes.
    ConfigAndState,
}

impl NodeScope {
    /// Whether the scope includes the node.
    pub fn includes(self, node: &Node) -> bool {
        node.config || self == NodeScope::ConfigAndState
    }
}

/// The compiled modules with their nodes.
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
    /// If a module can't be compiled. The modules are part of the program, so this is an error in the build.
    pub fn published() -> Schema {
        Schema::compile(&crate::PUBLISHED_MODULES)
            .unwrap_or_else(|error| panic!("published modules: {error}"))
    }

    /// Compiles modules, given as pairs of name and text. A module has to come before the modules that import or
    /// augment it. An unsupported statement is an error; none is ignored.
    pub fn compile(modules: &[(&str, &str)]) -> Result<Schema, ModelError> {
        compiler::compile(modules)
    }

    /// All modules, in the order of compilation.
    pub fn modules(&self) -> &[Module] {
        &self.modules
    }

    /// All nodes, in the order of the modules' text.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// The top-level nodes: data nodes, operations and notifications.
    pub fn roots(&self) -> &[NodeId] {
        &self.roots
    }

    /// The node with the given id.
    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[usize::from(id.0)]
    }

    /// The module with the given id.
    pub fn module(&self, id: ModuleId) -> &Module {
        &self.modules[usize::from(id.0)]
    }

    /// The module that defines a node.
    pub fn module_of(&self, id: NodeId) -> &Module {
        self.module(self.node(id).module)
    }

    /// The id of the module with the given name; `None` if there is none.
    pub fn module_by_name(&self, name: &str) -> Option<ModuleId> {
        let position = self.modules.iter().position(|module| module.name == name);
        position.map(|position| ModuleId(position as u8))
    }

    /// The child of `parent` with the given name, or the top-level node if `parent` is `None`. Without `module`, a node
    /// of any module matches.
    pub fn child(&self, parent: Option<NodeId>, module: Option<ModuleId>, name: &str) -> Option<NodeId> {
        let children = parent.map_or(&self.roots, |parent| &self.node(parent).children);
        let is_match = |id: &&NodeId| {
            let node = self.node(**id);
            node.name == name && module.is_none_or(|module| module == node.module)
        };
        children.iter().find(is_match).copied()
    }

    /// Finds a node by the names from the top level down to it, in any module.
    pub fn find(&self, names: &[&str]) -> Option<NodeId> {
        let mut found = None;
        for name in names {
            found = Some(self.child(found, None, name)?);
        }
        found
    }

    /// The names from the top level down to the node, separated by `/`. A name is prefixed with its module where that
    /// differs from the parent's module (RFC 7951, section 6.11).
    pub fn schema_path(&self, id: NodeId) -> String {
        let node = self.node(id);
        let parent_path = node.parent.map(|parent| self.schema_path(parent)).unwrap_or_default();
        format!("{parent_path}/{}", self.qualified_name(id))
    }

    /// The node's name, prefixed with its module unless the parent is of the same module.
    pub fn qualified_name(&self, id: NodeId) -> String {
        let node = self.node(id);
        match node.parent.filter(|parent| self.node(*parent).module == node.module) {
            Some(_) => node.name.clone(),
            None => format!("{}:{}", self.module(node.module).name, node.name),
        }
    }

    /// Whether the node is a key of its parent list.
    pub fn is_key(&self, id: NodeId) -> bool {
        self.node(id).parent.is_some_and(|parent| self.keys(parent).contains(&id))
    }

    /// The key leaves of a list; empty for other nodes.
    pub fn keys(&self, id: NodeId) -> &[NodeId] {
        match &self.node(id).kind {
            NodeKind::List { keys, .. } => keys,
            _ => &[],
        }
    }

    /// The value type of a leaf or leaf-list; `None` for other nodes.
    pub fn type_of(&self, id: NodeId) -> Option<&LeafType> {
        match &self.node(id).kind {
            NodeKind::Leaf { value_type, .. } | NodeKind::LeafList { value_type, .. } => Some(value_type),
            _ => None,
        }
    }

    /// The default value of a leaf; `None` for a leaf without a default and for other nodes.
    pub fn default_of(&self, id: NodeId) -> Option<&Scalar> {
        match &self.node(id).kind {
            NodeKind::Leaf { default, .. } => default.as_ref(),
            _ => None,
        }
    }
}
