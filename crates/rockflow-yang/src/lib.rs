//! The published YANG model of rockflow, without I/O.
//!
//! The modules in `yang/` are the only source of paths, types and constraints. They are compiled into a [`Schema`]; no
//! path, type or constraint is repeated in the Rust code. A [`DataTree`] holds values of the model, a [`Path`]
//! identifies one data node and a [`Pattern`] any number of them. [`json`] reads and writes data trees; the XML
//! encoding is part of the NETCONF server.

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

/// Name and text of each published module. A module that others import or augment comes before them.
pub const PUBLISHED_MODULES: [(&str, &str); 4] = [
    ("rockflow-types", include_str!("../yang/rockflow-types.yang")),
    ("rockflow-router", include_str!("../yang/rockflow-router.yang")),
    ("rockflow-access", include_str!("../yang/rockflow-access.yang")),
    ("rockflow-history", include_str!("../yang/rockflow-history.yang")),
];
