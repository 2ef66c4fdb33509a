//! The published YANG model of rockflow, without I/O.
//!
//! The modules in `yang/` are the one source of paths, types and constraints: they are compiled into a [`Schema`], and
//! nothing here repeats what they say. A [`DataTree`] holds values of the model, a [`Path`] names one node of it, and a
//! [`Pattern`] any number. [`json`] reads and writes trees; NETCONF's XML lies with its front.

mod compiler;
pub mod data;
pub mod error;
pub mod json;
pub mod path;
pub mod schema;
pub mod statement;
pub mod types;

pub use data::{Change, DataNode, DataTree, Edit, EditOperation, Instance};
pub use error::{EditError, EditErrorKind, JsonError, ModelError, PathError, ValueError};
pub use path::{Path, PathStep, Pattern, PatternStep};
pub use schema::{Module, ModuleId, Node, NodeId, NodeKind, NodeScope, Schema};
pub use types::{KeyValues, LeafType, Scalar};

/// The modules as they are published, by name.
pub const PUBLISHED_MODULES: [(&str, &str); 4] = [
    ("rockflow-types", include_str!("../yang/rockflow-types.yang")),
    ("rockflow-router", include_str!("../yang/rockflow-router.yang")),
    ("rockflow-access", include_str!("../yang/rockflow-access.yang")),
    ("rockflow-history", include_str!("../yang/rockflow-history.yang")),
];
