//! Events for subscribers (RFC 5277).

use rockflow_endpoints::EffectiveReadiness;
use rockflow_management::Notification;

/// An event of the management side or of the endpoint list.
#[derive(Clone, Debug)]
pub enum ManagementEvent {
    /// Something has happened to a session or a datastore.
    Notification(Notification),
    /// The effective state of an endpoint has changed.
    EndpointChanged {
        /// Its name.
        name: String,
        /// Its readiness, and what decides it; none: it has left the list.
        now: Option<EffectiveReadiness>,
    },
    /// An administrative override has run out.
    OverrideExpired {
        /// The endpoint's name.
        host: String,
    },
}
