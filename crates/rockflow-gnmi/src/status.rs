//! Conversion of errors to gRPC statuses, and of the encoding and timestamps of messages.

use crate::wire::Encoding;
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::Schema;
use std::time::Duration;
use tonic::Status;

/// The gRPC status of a management error. Its message ends with the path of the error, if there is one.
pub(crate) fn status(schema: &Schema, error: &ManagementError) -> Status {
    let path = error.path.as_ref().map(|path| format!(" at {}", path.to_text(schema))).unwrap_or_default();
    let message = format!("{}{path}", error.message);
    match (error.tag, error.app_tag) {
        (_, Some("conflict")) | (ErrorTag::InUse | ErrorTag::LockDenied, _) => Status::aborted(message),
        (ErrorTag::AccessDenied, _) => Status::permission_denied(message),
        (ErrorTag::DataMissing, _) => Status::not_found(message),
        (ErrorTag::DataExists, _) => Status::already_exists(message),
        (ErrorTag::ResourceDenied | ErrorTag::TooBig, _) => Status::resource_exhausted(message),
        (ErrorTag::OperationNotSupported, _) => Status::unimplemented(message),
        (ErrorTag::OperationFailed | ErrorTag::RollbackFailed, _) => Status::failed_precondition(message),
        _ => Status::invalid_argument(message),
    }
}

/// Decodes the number of an encoding. Only JSON and JSON_IETF are supported.
pub(crate) fn encoding(number: i32) -> Result<Encoding, Status> {
    match Encoding::try_from(number) {
        Ok(encoding @ (Encoding::Json | Encoding::JsonIetf)) => Ok(encoding),
        _ => Err(Status::unimplemented("only JSON and JSON_IETF are served")),
    }
}

/// Converts a time since the Unix epoch to nanoseconds, the unit of gNMI timestamps.
pub(crate) fn nanos(time: Duration) -> i64 {
    i64::try_from(time.as_nanos()).unwrap_or(i64::MAX)
}
