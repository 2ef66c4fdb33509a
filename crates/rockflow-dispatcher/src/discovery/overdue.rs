//! Keeps one connection whose response is overdue while the watch request is sent again on another: a slow service may
//! still respond on the first, and a connection that was cut off never does.

use crate::discovery::connection::{Connection, Transfer};
use crate::discovery::stream_end::StreamEnd;
use crate::purge_backlog::MAX_DELIVERY_DELAY;
use std::time::Duration;
use tracing::info;

/// Upper limit of the time for which a response is awaited. A connection that was cut off holds the place of a later one
/// for as long.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(28);

/// The kept connection, if there is one.
#[derive(Default)]
enum Kept {
    #[default]
    Nothing,
    /// Nothing has been received since the connection is kept.
    Unanswered(Connection),
    /// Bytes have been received that are not decoded yet.
    Answered(Connection),
}

/// At most one connection with an overdue response, and how long it is kept.
pub(super) struct OverdueConnection {
    kept: Kept,
    /// How long after its request a connection is kept. Doubles whenever it proves too short, so that a service gets to
    /// respond however slow it is.
    response_time: Duration,
}

impl OverdueConnection {
    pub(super) fn new() -> OverdueConnection {
        OverdueConnection { kept: Kept::Nothing, response_time: MAX_DELIVERY_DELAY }
    }

    /// Keeps the connection, unless an earlier one is kept already.
    pub(super) fn keep(&mut self, connection: Connection) {
        if matches!(self.kept, Kept::Nothing) {
            self.kept = Kept::Unanswered(connection);
        }
    }

    /// Closes the kept connection.
    pub(super) fn close(&mut self) {
        self.kept = Kept::Nothing;
    }

    /// Closes the kept connection because the service has begun its event stream on another one.
    pub(super) fn on_stream_begun(&mut self) {
        *self = OverdueConnection::new();
    }

    /// Receives what has arrived on the kept connection, without waiting. Returns whether there is a response to take.
    pub(super) fn poll(&mut self, now: Duration) -> bool {
        self.kept = match std::mem::take(&mut self.kept) {
            Kept::Unanswered(connection) => self.poll_unanswered(connection, now),
            kept => kept,
        };
        matches!(self.kept, Kept::Answered(_))
    }

    /// Takes the connection if anything has been received on it.
    pub(super) fn take_answered(&mut self, now: Duration) -> Option<Connection> {
        self.poll(now);
        match std::mem::take(&mut self.kept) {
            Kept::Answered(connection) => Some(connection),
            kept => {
                self.kept = kept;
                None
            }
        }
    }

    fn poll_unanswered(&mut self, mut connection: Connection, now: Duration) -> Kept {
        match connection.transfer(now) {
            Ok(Transfer::Received) => Kept::Answered(connection),
            Ok(Transfer::Blocked) if connection.age(now) <= self.response_time => {
                Kept::Unanswered(connection)
            }
            Ok(Transfer::Blocked) => {
                self.response_time = (2 * self.response_time).min(MAX_RESPONSE_TIME);
                log_end(&StreamEnd::ResponseOverdue);
                Kept::Nothing
            }
            Err(end) => {
                log_end(&end);
                Kept::Nothing
            }
        }
    }
}

fn log_end(reason: &StreamEnd) {
    info!(%reason, "overdue discovery connection ended");
}
