//! The operations `get`, `get-config` (RFC 6241) and `get-data` (RFC 8526).

use super::parameters::{datastore, datastore_by_identity, invalid};
use super::selection::Selection;
use super::{Reply, Server};
use crate::codec::{self, Annotations};
use crate::monitoring;
use crate::ns;
use crate::xml::{Element, Writer};
use rockflow_management::{Datastore, ManagementError};
use rockflow_management_service::SessionHandle;
use rockflow_yang::{data, DataTree, NodeScope, Path, Schema};

/// The parameters that the three operations have in common.
struct GetRequest {
    /// The datastore to read, or `None` for the operational datastore.
    datastore: Option<Datastore>,
    selection: Selection,
    /// The namespace of the `<data>` element in the reply.
    namespace: &'static str,
}

impl Server {
    pub(super) async fn get(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        let selection = Selection::from_filter(self.service.schema(), operation)?;
        let request = GetRequest { datastore: None, selection, namespace: ns::BASE };
        self.read(session, operation, request).await
    }

    pub(super) async fn get_config(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        let datastore = Some(datastore(operation, "source")?);
        let selection = Selection::from_filter(self.service.schema(), operation)?;
        self.read(session, operation, GetRequest { datastore, selection, namespace: ns::BASE }).await
    }

    pub(super) async fn get_data(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        let schema = self.service.schema();
        let datastore = datastore_by_identity(operation)?;
        let selection = Selection::from_elements(schema, operation, "subtree-filter", "xpath-filter")?;
        self.read(session, operation, GetRequest { datastore, selection, namespace: ns::NMDA }).await
    }

    async fn read(
        &self,
        session: &SessionHandle,
        operation: &Element,
        request: GetRequest,
    ) -> Result<Reply, ManagementError> {
        let schema = self.service.schema();
        let tree = session.read(request.datastore).await?;
        let tree = apply_config_filter(schema, operation, tree);
        let (tree, mut annotations) = apply_defaults_mode(schema, operation, tree)?;
        let is_operational = request.datastore.is_none();
        annotations.origin = operation.child("with-origin").is_some() && is_operational;
        let selected = request.selection.select(schema, tree);
        let mut out = Writer::new();
        out.open("data", &[("xmlns", request.namespace)]);
        codec::write(schema, &selected, None, annotations, &mut out);
        if is_operational {
            if let Some(parts) = request.selection.netconf_state_parts() {
                out.raw(&monitoring::netconf_state(&self.service, &self.counts, self.started, &*parts));
            }
        }
        out.close("data");
        Ok(Reply::Content(out.finish()))
    }
}

/// Reduces the tree to configuration or to state if `config-filter` is `true` or `false` (RFC 8526).
fn apply_config_filter(schema: &Schema, operation: &Element, tree: DataTree) -> DataTree {
    let config = match operation.text_of("config-filter") {
        Some("true") => true,
        Some("false") => false,
        _ => return tree,
    };
    let is_selected = |path: &Path| path.node().is_some_and(|node| schema.node(node).config == config);
    data::retain_leaves(schema, &tree, &Path::default(), &is_selected)
}

/// Adds, tags or removes default values according to the parameter `with-defaults` (RFC 6243).
fn apply_defaults_mode(
    schema: &Schema,
    operation: &Element,
    tree: DataTree,
) -> Result<(DataTree, Annotations), ManagementError> {
    let no_annotations = Annotations::default();
    match operation.text_of("with-defaults") {
        None | Some("explicit") => Ok((tree, no_annotations)),
        Some("report-all") => Ok((data::with_defaults(schema, &tree, NodeScope::ConfigOnly), no_annotations)),
        Some("report-all-tagged") => {
            let tagged = Annotations { tag_defaults: true, ..no_annotations };
            Ok((data::with_defaults(schema, &tree, NodeScope::ConfigOnly), tagged))
        }
        Some("trim") => Ok((data::without_defaults(schema, &tree), no_annotations)),
        Some(other) => Err(invalid(format!("{other}: no mode of defaults")).with_element("with-defaults")),
    }
}
