//! Encoding of `<rpc-error>` elements (RFC 6241, section 4.3).

use crate::xml::Writer;
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::Schema;

/// Returns the XML with one `<rpc-error>` per error.
pub fn write_errors(schema: &Schema, errors: &[ManagementError]) -> String {
    let mut out = Writer::new();
    for error in errors {
        write_error(schema, error, &mut out);
    }
    out.finish()
}

fn write_error(schema: &Schema, error: &ManagementError, out: &mut Writer) {
    out.open("rpc-error", &[]);
    out.leaf("error-type", &[], error_type(error.tag));
    out.leaf("error-tag", &[], error.tag.name());
    out.leaf("error-severity", &[], "error");
    if let Some(tag) = error.app_tag {
        out.leaf("error-app-tag", &[], tag);
    }
    if let Some(path) = &error.path {
        out.leaf("error-path", &[], &path.to_text(schema));
    }
    out.leaf("error-message", &[("xml:lang", "en")], &error.message);
    if error.holder.is_some() || error.element.is_some() {
        out.open("error-info", &[]);
        if let Some(holder) = error.holder {
            out.leaf("session-id", &[], &holder.0.to_string());
        }
        if let Some(element) = &error.element {
            out.leaf("bad-element", &[], element);
        }
        out.close("error-info");
    }
    out.close("rpc-error");
}

/// Returns the `error-type`: the conceptual layer at which the error occurred.
fn error_type(tag: ErrorTag) -> &'static str {
    match tag {
        ErrorTag::MalformedMessage => "rpc",
        ErrorTag::MissingAttribute
        | ErrorTag::BadAttribute
        | ErrorTag::UnknownAttribute
        | ErrorTag::MissingElement
        | ErrorTag::BadElement
        | ErrorTag::UnknownElement
        | ErrorTag::UnknownNamespace
        | ErrorTag::LockDenied
        | ErrorTag::OperationNotSupported => "protocol",
        _ => "application",
    }
}
