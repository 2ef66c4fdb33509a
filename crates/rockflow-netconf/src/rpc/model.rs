//! The operations defined in rockflow's YANG modules: drain, undrain and rollback.

use super::parameters::missing;
use super::{Reply, Server};
use crate::codec;
use crate::xml::{Element, Writer};
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_management_service::SessionHandle;
use rockflow_yang::{DataTree, NodeId, NodeKind, NodeScope, Path, Scalar, Schema};
use std::time::Duration;

/// The input parameters of an operation, checked against its `input` node in the schema.
struct Input<'a> {
    schema: &'a Schema,
    node: Option<NodeId>,
    values: DataTree,
}

impl Server {
    pub(super) async fn call_model_operation(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        let input = Input::parse(self.service.schema(), operation)?;
        let host = input.text("host").unwrap_or_default();
        let version = match operation.name.as_str() {
            "drain" => {
                let force = input.value("force").and_then(Scalar::as_bool).unwrap_or(false);
                let expires_in = input.number("expires-in").map(Duration::from_secs);
                session.drain(host, input.text("reason"), expires_in, force).await?
            }
            "undrain" => session.undrain(host).await?,
            "rollback" => {
                let version = input.number("version").unwrap_or_default();
                session.rollback(version, input.number("expected")).await?
            }
            other => {
                let message = format!("{other}: not served");
                return Err(ManagementError::new(ErrorTag::OperationNotSupported, message));
            }
        };
        let mut out = Writer::new();
        out.leaf("version", &[("xmlns", &operation.ns)], &version.to_string());
        Ok(Reply::Content(out.finish()))
    }
}

impl<'a> Input<'a> {
    fn parse(schema: &'a Schema, operation: &Element) -> Result<Input<'a>, ManagementError> {
        let node = schema.child(Some(find_operation(schema, operation)?), None, "input");
        let values =
            codec::read(schema, node, &operation.children, &Path::default(), NodeScope::ConfigAndState)?;
        for id in node.map(|input| schema.node(input).children.as_slice()).unwrap_or_default() {
            let parameter = schema.node(*id);
            let is_mandatory = matches!(parameter.kind, NodeKind::Leaf { mandatory: true, .. });
            if is_mandatory && !values.contains_key(id) {
                return Err(missing(&parameter.name));
            }
        }
        Ok(Input { schema, node, values })
    }

    fn value(&self, name: &str) -> Option<&Scalar> {
        let id = self.schema.child(Some(self.node?), None, name)?;
        self.values.get(&id)?.scalar()
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.value(name).and_then(Scalar::as_text)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.value(name).and_then(Scalar::as_u64)
    }
}

fn find_operation(schema: &Schema, operation: &Element) -> Result<NodeId, ManagementError> {
    let name = &operation.name;
    let mut nodes = schema.roots().iter().map(|id| schema.node(*id));
    let found = nodes.find(|node| {
        matches!(node.kind, NodeKind::Rpc)
            && node.name == *name
            && schema.module(node.module).namespace == operation.ns
    });
    found.map(|node| node.id).ok_or_else(|| {
        let message = format!("{name}: no such operation");
        ManagementError::new(ErrorTag::OperationNotSupported, message).with_element(name)
    })
}
