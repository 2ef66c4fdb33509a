//! The operations `edit-config` (RFC 6241) and `edit-data` (RFC 8526).

use super::parameters::{datastore, datastore_by_identity, invalid, missing};
use super::{Reply, Server};
use crate::codec;
use crate::ns;
use crate::xml::Element;
use rockflow_management::{ConfigSource, Datastore, EditMode, ErrorOption, ManagementError};
use rockflow_management_service::SessionHandle;
use rockflow_yang::{data, DataTree, Edit, EditOperation, Schema};

struct EditRequest {
    target: Datastore,
    on_error: ErrorOption,
    test: TestOption,
    edits: Vec<Edit>,
}

/// The `test-option` parameter: whether the edits are validated, and whether they are applied.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TestOption {
    Set,
    TestThenSet,
    TestOnly,
}

impl Server {
    pub(super) async fn edit(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, Vec<ManagementError>> {
        let schema = self.service.schema();
        let request = EditRequest::parse(schema, operation).map_err(|error| vec![error])?;
        if request.test != TestOption::Set {
            let tested = apply_to_copy(schema, session, &request)?;
            session.validate(ConfigSource::Inline(tested)).await.map_err(|error| vec![error])?;
        }
        if request.test != TestOption::TestOnly {
            let EditRequest { target, edits, on_error, .. } = request;
            session.update(|datastores, _| {
                datastores.edit_config(session.id, target, &edits, on_error, EditMode::Apply)
            })?;
        }
        Ok(Reply::Ok)
    }
}

/// Applies the edits to a copy of the target datastore, so that rejected edits leave the datastore unchanged.
fn apply_to_copy(
    schema: &Schema,
    session: &SessionHandle,
    request: &EditRequest,
) -> Result<DataTree, Vec<ManagementError>> {
    let EditRequest { target, edits, .. } = request;
    session.update(|datastores, _| {
        datastores.edit_config(session.id, *target, edits, ErrorOption::Rollback, EditMode::TestOnly)?;
        let mut tree = datastores.datastore(session.id, *target).clone();
        for edit in edits {
            data::apply_edit(schema, &mut tree, edit).map_err(|error| vec![error.into()])?;
        }
        Ok(tree)
    })
}

impl EditRequest {
    fn parse(schema: &Schema, operation: &Element) -> Result<EditRequest, ManagementError> {
        let is_edit_data = operation.ns == ns::NMDA;
        let target = if is_edit_data {
            let target = datastore_by_identity(operation)?;
            target.ok_or_else(|| invalid("operational can't be written").with_element("datastore"))?
        } else {
            datastore(operation, "target")?
        };
        let default_operation = default_operation(operation)?;
        let on_error = error_option(operation)?;
        let on_error = if is_edit_data { ErrorOption::Rollback } else { on_error };
        let test = test_option(operation)?;
        let config = operation.child("config").ok_or_else(|| missing("config"))?;
        let edits = codec::edits(schema, config, default_operation)?;
        Ok(EditRequest { target, on_error, test, edits })
    }
}

fn default_operation(operation: &Element) -> Result<EditOperation, ManagementError> {
    match operation.text_of("default-operation") {
        None | Some("merge") => Ok(EditOperation::Merge),
        Some("replace") => Ok(EditOperation::Replace),
        Some("none") => Ok(EditOperation::AssertExists),
        Some(other) => {
            Err(invalid(format!("{other}: no default-operation")).with_element("default-operation"))
        }
    }
}

fn error_option(operation: &Element) -> Result<ErrorOption, ManagementError> {
    match operation.text_of("error-option") {
        None | Some("stop-on-error") => Ok(ErrorOption::Stop),
        Some("continue-on-error") => Ok(ErrorOption::Continue),
        Some("rollback-on-error") => Ok(ErrorOption::Rollback),
        Some(other) => Err(invalid(format!("{other}: no error-option"))),
    }
}

fn test_option(operation: &Element) -> Result<TestOption, ManagementError> {
    match operation.text_of("test-option") {
        None | Some("set") => Ok(TestOption::Set),
        Some("test-then-set") => Ok(TestOption::TestThenSet),
        Some("test-only") => Ok(TestOption::TestOnly),
        Some(other) => Err(invalid(format!("{other}: no test-option"))),
    }
}
