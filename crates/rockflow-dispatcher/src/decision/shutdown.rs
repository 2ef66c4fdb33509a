//! Shutdown: open requests end by the program's end.

use crate::decision::deadlines::Deadline;
use crate::decision::DecisionActor;
use rockflow::Event;
use std::time::Duration;

impl DecisionActor {
    /// Requests that may last longer end at the shutdown's deadline: their attempts end by then, and the decisions respond
    /// to them as if their own time were up.
    pub(super) fn on_shutdown(&mut self, deadline: Duration) {
        self.shutdown_deadline = Some(deadline);
        let response_due = deadline + self.response_grace();
        for (id, open) in self.requests.iter_mut().filter(|(_, open)| open.deadline > deadline) {
            open.deadline = deadline;
            for (key, _) in open.in_flight(id) {
                self.deadlines.push(deadline, Deadline::AttemptTimeout(key));
            }
            self.deadlines.push(response_due, Deadline::Response(id));
        }
        self.events.push_back(Event::ShutdownStarted { deadline });
    }
}
