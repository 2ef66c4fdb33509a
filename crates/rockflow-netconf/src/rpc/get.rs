//! `get`, `get-config` and `get-data`.

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

/// What is read, as the three operations have it in common.
struct GetRequest {
    /// None: operational.
    datastore: Option<Datastore>,
    selection: Selection,
    /// Namespace of the reply's `<data>`.
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

/// Only configuration or only state, where `config-filter` asks for it (RFC 8526).
fn apply_config_filter(schema: &Schema, operation: &Element, tree: DataTree) -> DataTree {
    let config = match operation.text_of("config-filter") {
        Some("true") => true,
        Some("false") => false,
        _ => return tree,
    };
    let is_wanted = |path: &Path| path.node().is_some_and(|node| schema.node(node).config == config);
    data::retain_leaves(schema, &tree, &Path::default(), &is_wanted)
}

/// The tree with or without defaults, as `with-defaults` asks for it (RFC 6243).
fn apply_defaults_mode(
    schema: &Schema,
    operation: &Element,
    tree: DataTree,
) -> Result<(DataTree, Annotations), ManagementError> {
    let plain = Annotations::default();
    match operation.text_of("with-defaults") {
        None | Some("explicit") => Ok((tree, plain)),
        Some("report-all") => Ok((data::with_defaults(schema, &tree, NodeScope::ConfigOnly), plain)),
        Some("report-all-tagged") => {
            let tagged = Annotations { tag_defaults: true, ..plain };
            Ok((data::with_defaults(schema, &tree, NodeScope::ConfigOnly), tagged))
        }
        Some("trim") => Ok((data::without_defaults(schema, &tree), plain)),
        Some(other) => Err(invalid(format!("{other}: no mode of defaults")).with_element("with-defaults")),
    }
}
