//! Events that are sent to subscribers as notifications (RFC 5277).

use rockflow_endpoints::EffectiveReadiness;
use rockflow_management::Notification;

/// An event of the management service or of the endpoint list.
#[derive(Clone, Debug)]
pub enum ManagementEvent {
    /// A change of a session or of a datastore, such as a commit.
    Notification(Notification),
    /// The effective readiness of an endpoint changed, or the endpoint was added or removed.
    EndpointChanged {
        /// The endpoint's name.
        name: String,
        /// The new readiness and the source that determines it; `None` if the endpoint was removed from the
        /// list.
        now: Option<EffectiveReadiness>,
    },
    /// An administrative override reached its expiry time.
    OverrideExpired {
        /// The name of the endpoint that the override was for.
        host: String,
    },
}
