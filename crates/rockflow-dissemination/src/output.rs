//! What a node wants done, and what its caller asks it to publish.

use crate::apply_tokens::ApplyToken;
use crate::entry::{EntryId, Purge, SequenceNumber, StreamId};
use crate::identity::Incarnation;
use crate::message::Message;
use crate::setting::DesiredState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a control node is asked to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Publication {
    /// A purge.
    Purge {
        /// What is purged.
        purge: Purge,
        /// Time since the purge was requested.
        age: Duration,
    },
    /// A setting of a host.
    Setting {
        /// The host's name.
        host: String,
        /// What is wanted of it.
        desired: DesiredState,
    },
}

/// What is to be done after a call of a node, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Apply purges, then call [`Node::confirm_applied`](crate::Node::confirm_applied). At a control node these are the
    /// purges that others published, and nothing has to be confirmed.
    Purge {
        /// Each with its age. A purge of everything also replaces purges that were lost.
        purges: Vec<(Purge, Duration)>,
        /// What to confirm.
        token: ApplyToken,
    },
    /// Apply the settings, then call [`Node::reject`](crate::Node::reject) for each that can't be applied, then
    /// [`Node::confirm_applied`](crate::Node::confirm_applied).
    Configure {
        /// All hosts whose desired state is not [`DesiredState::Listed`].
        settings: BTreeMap<String, DesiredState>,
        /// Settings to be judged, with their hosts: those that have changed, and those that were rejected before.
        changed: Vec<(EntryId, String)>,
        /// What to confirm.
        token: ApplyToken,
    },
    /// At a control node: an entry was seen for the first time to be applied by all members.
    ReplicatedToAll {
        /// The entry's stream.
        stream: StreamId,
        /// Its number.
        number: SequenceNumber,
        /// Time since it was published.
        after: Duration,
    },
    /// A later incarnation of this control node was known elsewhere. The node continues under a greater one.
    IncarnationSuperseded {
        /// The incarnation of all that is sent from now on.
        incarnation: Incarnation,
    },
}
