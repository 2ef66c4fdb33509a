//! What stands between the management datastores and the fronts that serve them: the operator's file, the desk
//! that holds the datastores beside a running dispatcher, and the audit log. A front decodes, asks the desk, and
//! encodes; it decides nothing.

pub mod audit;
pub mod desk;
pub mod doorway;
pub mod secrets;
pub mod state;

pub use desk::{Asker, Desk, Event, Opened};
pub use doorway::{Doorway, Unproved};
pub use rockflow_operator_config as file;
pub use rockflow_operator_config::{Fault, GnmiPart, ManagementPart, NetconfPart, OperatorFile, TlsPart};
