//! The NETCONF operations. The content of an `<rpc>` is parsed into a typed request, which the management
//! service executes.

mod edit;
mod error;
mod get;
mod model;
mod parameters;
mod partial_lock;
mod schema;
mod selection;
mod subscription;

pub use error::write_errors;

use crate::codec;
use crate::monitoring::Counts;
use crate::ns;
use crate::xml::Element;
use parameters::{datastore, invalid, missing, seconds};
use rockflow_management::{
    CommitOptions, ConfigSource, Datastore, ErrorTag, ManagementError, SessionId, Trigger,
    DEFAULT_CONFIRM_TIMEOUT,
};
use rockflow_management_service::{ManagementService, SessionHandle};
use rockflow_yang::{NodeScope, Path, Pattern, Schema};
use std::sync::Arc;
use std::time::Duration;

/// The result of a successful operation: the reply to send and the change to the session.
pub enum Reply {
    /// Reply with `<ok/>`.
    Ok,
    /// Reply with this content, which is XML.
    Content(String),
    /// Reply with `<ok/>` and end the session.
    Close,
    /// Subscribe the session to events.
    Events,
    /// Subscribe the session to values and reply with the subscription id.
    Push {
        /// The paths of the subscribed values.
        patterns: Vec<Pattern>,
        /// Whether updates are sent periodically or on change.
        trigger: Trigger,
        /// Whether the initial update with all values is omitted.
        updates_only: bool,
    },
    /// End the session's subscription with this id and reply with `<ok/>`.
    Unsubscribe(u64),
}

/// State shared by all sessions.
pub struct Server {
    /// Executes the operations and enforces access control.
    pub service: Arc<ManagementService>,
    /// Event counters over all sessions.
    pub counts: Counts,
    /// Start time of the server since the Unix epoch.
    pub started: Duration,
}

impl Server {
    /// Executes one operation. Only `edit-config` and `edit-data` can fail with several errors.
    pub async fn call(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, Vec<ManagementError>> {
        match (operation.ns.as_str(), operation.name.as_str()) {
            (ns::BASE, "edit-config") | (ns::NMDA, "edit-data") => self.edit(session, operation).await,
            _ => self.call_with_one_error(session, operation).await.map_err(|error| vec![error]),
        }
    }

    /// Executes an operation that fails with a single error.
    async fn call_with_one_error(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        match (operation.ns.as_str(), operation.name.as_str()) {
            (ns::BASE, "get") => self.get(session, operation).await,
            (ns::BASE, "get-config") => self.get_config(session, operation).await,
            (ns::NMDA, "get-data") => self.get_data(session, operation).await,
            (ns::BASE, "copy-config") => self.copy_config(session, operation),
            (ns::BASE, "delete-config") => delete_config(session, operation),
            (ns::BASE, "lock") => lock(session, operation),
            (ns::BASE, "unlock") => unlock(session, operation),
            (ns::PARTIAL_LOCK, "partial-lock") => self.partial_lock(session, operation),
            (ns::PARTIAL_LOCK, "partial-unlock") => partial_lock::partial_unlock(session, operation),
            (ns::BASE, "commit") => commit(session, operation).await,
            (ns::BASE, "cancel-commit") => cancel_commit(session, operation).await,
            (ns::BASE, "discard-changes") => discard_changes(session),
            (ns::BASE, "validate") => self.validate(session, operation).await,
            (ns::BASE, "close-session") => Ok(Reply::Close),
            (ns::BASE, "kill-session") => kill_session(session, operation).await,
            (ns::MONITORING, "get-schema") => self.get_schema(session, operation),
            (ns::NOTIFICATION, "create-subscription") => {
                subscription::create_subscription(session, operation)
            }
            (ns::SUBSCRIBED, "establish-subscription") => self.establish_subscription(session, operation),
            (ns::SUBSCRIBED, "delete-subscription") => subscription::delete_subscription(operation),
            _ => self.call_model_operation(session, operation).await,
        }
    }

    fn copy_config(&self, session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
        let target = datastore(operation, "target")?;
        let source = config_source(self.service.schema(), operation)?;
        session.update(|datastores, _| datastores.copy_config(session.id, source, target))?;
        Ok(Reply::Ok)
    }

    async fn validate(&self, session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
        let source = config_source(self.service.schema(), operation)?;
        session.validate(source).await?;
        Ok(Reply::Ok)
    }
}

/// Parses the `<source>` of an operation: a datastore, or configuration included in the message.
fn config_source(schema: &Schema, operation: &Element) -> Result<ConfigSource, ManagementError> {
    match operation.child("source").and_then(|source| source.child("config")) {
        Some(config) => {
            let tree = codec::read(schema, None, &config.children, &Path::default(), NodeScope::ConfigOnly)?;
            Ok(ConfigSource::Inline(tree))
        }
        None => Ok(ConfigSource::Datastore(datastore(operation, "source")?)),
    }
}

fn delete_config(session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
    match datastore(operation, "target")? {
        Datastore::Startup => {
            session.update(|datastores, _| datastores.delete_startup(session.id))?;
            Ok(Reply::Ok)
        }
        other => {
            let message = format!("{} can't be deleted", other.name());
            Err(ManagementError::new(ErrorTag::OperationNotSupported, message))
        }
    }
}

fn lock(session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
    let target = datastore(operation, "target")?;
    session.update(|datastores, now| datastores.lock(now, session.id, target))?;
    Ok(Reply::Ok)
}

fn unlock(session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
    let target = datastore(operation, "target")?;
    session.update(|datastores, _| datastores.unlock(session.id, target))?;
    Ok(Reply::Ok)
}

async fn commit(session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
    session.commit(&commit_options(operation)?, "").await?;
    Ok(Reply::Ok)
}

fn commit_options(operation: &Element) -> Result<CommitOptions, ManagementError> {
    let is_confirmed = operation.child("confirmed").is_some();
    let timeout = seconds(operation, "confirm-timeout")?;
    Ok(CommitOptions {
        confirm_timeout: is_confirmed.then(|| timeout.unwrap_or(DEFAULT_CONFIRM_TIMEOUT)),
        persist: operation.text_of("persist").filter(|_| is_confirmed).map(str::to_string),
        persist_id: operation.text_of("persist-id").map(str::to_string),
    })
}

async fn cancel_commit(session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
    session.cancel_commit(operation.text_of("persist-id")).await?;
    Ok(Reply::Ok)
}

fn discard_changes(session: &SessionHandle) -> Result<Reply, ManagementError> {
    session.update(|datastores, _| datastores.discard_changes(session.id))?;
    Ok(Reply::Ok)
}

async fn kill_session(session: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
    let target = operation.text_of("session-id").ok_or_else(|| missing("session-id"))?;
    let target = target.parse().map_err(|_| invalid("session-id is no number"))?;
    session.kill_session(SessionId(target)).await?;
    Ok(Reply::Ok)
}
