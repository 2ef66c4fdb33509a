//! Graceful shutdown: open requests get their responses before the process exits.

use crate::decision::deadlines::Deadline;
use crate::decision::DecisionActor;
use rockflow::Event;
use std::time::Duration;

impl DecisionActor {
    /// Shortens later deadlines of open requests to the shutdown deadline. Attempts in flight time out by then, and the
    /// decision logic answers the requests as if their own deadlines had passed.
    pub(super) fn on_shutdown(&mut self, deadline: Duration) {
        self.shutdown_deadline = Some(deadline);
        let response_due = deadline + self.response_grace();
        for (id, open_request) in
            self.requests.iter_mut().filter(|(_, open_request)| open_request.deadline > deadline)
        {
            open_request.deadline = deadline;
            for (key, _) in open_request.in_flight(id) {
                self.deadlines.push(deadline, Deadline::AttemptTimeout(key));
            }
            self.deadlines.push(response_due, Deadline::Response(id));
        }
        self.events.push_back(Event::ShutdownStarted { deadline });
    }
}
