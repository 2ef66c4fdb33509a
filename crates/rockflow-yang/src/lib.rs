//! The published model of rockflow, without I/O. The modules in `yang/` are the one source of paths, types and
//! constraints: they are read when a `Schema` is made, and nothing here repeats what they say.
//!
//! A `DataTree` holds the values below one node, a `Path` names one of them, and a `Pattern` any number.

pub mod data;
pub mod json;
pub mod path;
pub mod schema;
pub mod statement;
pub mod types;

pub use data::{Change, DataNode, DataTree, Edit, EditError, EditOperation};
pub use path::{Path, PathStep, Pattern};
pub use schema::{Module, ModuleId, Node, NodeId, NodeKind, Schema};
pub use types::{KeyValues, LeafType, Scalar};

/// The modules as they are published, by name.
pub const PUBLISHED_MODULES: [(&str, &str); 4] = [
    ("rockflow-types", include_str!("../yang/rockflow-types.yang")),
    ("rockflow-router", include_str!("../yang/rockflow-router.yang")),
    ("rockflow-access", include_str!("../yang/rockflow-access.yang")),
    ("rockflow-history", include_str!("../yang/rockflow-history.yang")),
];
