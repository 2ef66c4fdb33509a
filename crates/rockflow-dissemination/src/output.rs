//! The actions that a node returns to its caller, and the publications that the caller hands to a control node.

use crate::apply_tokens::ApplyToken;
use crate::entry::{EntryId, Purge, SequenceNumber, StreamId};
use crate::identity::Incarnation;
use crate::message::Message;
use crate::setting::DesiredState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A purge or a setting that a control node is asked to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Publication {
    /// A purge.
    Purge {
        /// The objects to purge.
        purge: Purge,
        /// Time since the purge was requested.
        age: Duration,
    },
    /// A setting of a host.
    Setting {
        /// Name of the host.
        host: String,
        /// The state that the host is to be in.
        desired: DesiredState,
    },
}

/// An action for the caller of a node. The actions returned by a call are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Apply purges, then call [`Node::confirm_applied`](crate::Node::confirm_applied). At a control node these are the
    /// purges that other control nodes published, and need no confirmation.
    Purge {
        /// The purges, each with its age. A purge of everything may stand for purges that were lost.
        purges: Vec<(Purge, Duration)>,
        /// Token to confirm once all of it is applied.
        token: ApplyToken,
    },
    /// Apply the settings, then call [`Node::reject`](crate::Node::reject) for each that can't be applied, then
    /// [`Node::confirm_applied`](crate::Node::confirm_applied).
    Configure {
        /// All hosts whose desired state is not [`DesiredState::Listed`].
        settings: BTreeMap<String, DesiredState>,
        /// Settings that the caller may reject, with their hosts: those that have changed, and those that were rejected
        /// before.
        changed: Vec<(EntryId, String)>,
        /// Token to confirm once all of it is applied.
        token: ApplyToken,
    },
    /// At a control node: the reports show for the first time that all members have applied an entry.
    ReplicatedToAll {
        /// The entry's stream.
        stream: StreamId,
        /// Number of the entry.
        number: SequenceNumber,
        /// Time since the entry was published.
        after: Duration,
    },
    /// Another node knew a later incarnation of this control node, which therefore continues under a greater one.
    IncarnationSuperseded {
        /// The incarnation under which the node sends from now on.
        incarnation: Incarnation,
    },
}
