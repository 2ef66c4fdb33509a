//! The operations `partial-lock` and `partial-unlock` (RFC 5717).

use super::parameters::{invalid, missing};
use super::{Reply, Server};
use crate::filter;
use crate::ns;
use crate::xml::{Element, Writer};
use rockflow_management::ManagementError;
use rockflow_management_service::SessionHandle;

impl Server {
    pub(super) fn partial_lock(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        let schema = self.service.schema();
        let mut patterns = Vec::new();
        for select in operation.children.iter().filter(|child| child.name == "select") {
            patterns.extend(filter::patterns(schema, select.text(), &select.prefixes)?);
        }
        if patterns.is_empty() {
            return Err(missing("select"));
        }
        let grant = session.update(|datastores, _| datastores.partial_lock(session.id, &patterns))?;
        let mut out = Writer::new();
        out.leaf("lock-id", &[("xmlns", ns::PARTIAL_LOCK)], &grant.id.to_string());
        for path in grant.nodes {
            out.leaf("locked-node", &[("xmlns", ns::PARTIAL_LOCK)], &path.to_text(schema));
        }
        Ok(Reply::Content(out.finish()))
    }
}

pub(super) fn partial_unlock(session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
    let lock = operation.text_of("lock-id").ok_or_else(|| missing("lock-id"))?;
    let lock = lock.parse().map_err(|_| invalid("lock-id is no number"))?;
    session.update(|datastores, _| datastores.partial_unlock(session.id, lock))?;
    Ok(Reply::Ok)
}
