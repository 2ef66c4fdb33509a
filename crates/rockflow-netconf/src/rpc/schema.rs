//! The operation `get-schema` (RFC 6022).

use super::parameters::{invalid, missing};
use super::{Reply, Server};
use crate::ns;
use crate::xml::{Element, Writer};
use rockflow_management::ManagementError;
use rockflow_management_service::SessionHandle;
use rockflow_yang::Module;

impl Server {
    pub(super) fn get_schema(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        session.authorize_call("get-schema")?;
        let name = operation.text_of("identifier").ok_or_else(|| missing("identifier"))?;
        let version = operation.text_of("version").filter(|version| !version.is_empty());
        if operation.text_of("format").is_some_and(|format| !format.ends_with("yang")) {
            return Err(invalid("only yang is served").with_element("format"));
        }
        let matches = |module: &&Module| {
            module.name == name && version.is_none_or(|version| version == module.revision)
        };
        let module = self.service.schema().modules().iter().find(matches);
        let module = module.ok_or_else(|| invalid(format!("{name}: no such module")))?;
        let mut out = Writer::new();
        out.leaf("data", &[("xmlns", ns::MONITORING)], &module.text);
        Ok(Reply::Content(out.finish()))
    }
}
