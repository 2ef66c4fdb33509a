//! Routing decisions: time a request and memory, by the state that a dispatcher holds.

use super::list::{listings, SIZES as HOSTS};
use super::measure::{bytes_of, nanoseconds};
use super::{Bench, Listed};
use rockflow::{
    Action, Attempt, AttemptEnd, AttemptNumber, CacheStatus, ClassId, DeploymentConfig, Dispatcher, Event,
    GroupId, ListScope, ObjectId, Outcome, Request, RequestId,
};
use std::time::Duration;

/// Series about routing decisions.
pub const SERIES: &[Listed] = &[
    ("decisions-hosts", "a request decided, by the hosts of the dispatcher's location", by_hosts),
    ("decisions-open", "a request decided, by the requests that are open", by_open),
    ("decisions-seen", "a request decided, by the objects seen lately", by_seen),
    ("decisions-purges", "a request decided, by the purges in force", by_purges),
];

const OPEN: [usize; 5] = [100, 500, 1000, 2000, 4000];
const SEEN: [usize; 6] = [1000, 3000, 10_000, 30_000, 60_000, 100_000];
const PURGES: [usize; 5] = [50, 200, 430, 1800, 4300];
/// Hosts where it is not they that are varied: what a zone of the target has.
const OF_A_ZONE: usize = 5;
const COPIES: usize = 8;
/// Links so wide that nothing is turned away, however much is open.
const WIDE: f64 = 1e6;
/// Between two requests, at the target's peak for one dispatcher.
const GAP: Duration = Duration::from_micros(818);

/// A dispatcher that is asked and answered.
struct RequestDriver {
    dispatcher: Dispatcher,
    now: Duration,
    next: u64,
}

impl RequestDriver {
    fn new(hosts: usize) -> RequestDriver {
        let told = DeploymentConfig {
            max_tracked: 1_000_000,
            ..rockflow_routing_simulation::deployment_config(0, 1)
        };
        let mut dispatcher = Dispatcher::new(told, 1);
        let now = Duration::from_secs(100);
        dispatcher
            .handle(now, Event::EndpointsListed { scope: ListScope::Full, entries: listings(hosts, WIDE) });
        RequestDriver { dispatcher, now, next: 0 }
    }

    /// One request, for one of so many objects; what is sent for it comes back.
    fn send_request(&mut self, objects: u64) -> Option<(RequestId, Attempt)> {
        self.next += 1;
        self.now += GAP;
        let id = RequestId(self.next);
        let object = ObjectId((self.next % objects).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let time_left = Duration::from_secs(3);
        let (class, group) = (ClassId(0), GroupId(0));
        let request = Request {
            id,
            class,
            object,
            part: 0,
            group,
            time_left,
            size_kb: 20.0,
            previous_attempts: Vec::new(),
        };
        let actions = self.dispatcher.handle(self.now, Event::RequestArrived(request));
        actions.into_iter().find_map(|action| match action {
            Action::SendAttempt { request, attempt } => Some((request, attempt)),
            _ => None,
        })
    }

    fn answer(&mut self, (request, attempt): (RequestId, Attempt)) {
        self.dispatcher.handle(
            self.now,
            Event::AttemptEnded(AttemptEnd {
                request,
                attempt: AttemptNumber(0),
                host: attempt.host,
                outcome: Outcome::Succeeded,
                duration: Duration::from_millis(20),
                request_finished: true,
                cache_status: CacheStatus::Hit,
                fill_wait: Duration::ZERO,
                first_byte_sent: true,
            }),
        );
    }

    /// A request decided and answered.
    fn run_request(&mut self, objects: u64) {
        if let Some(sent) = self.send_request(objects) {
            self.answer(sent);
        }
    }
}

fn by_hosts(bench: &mut Bench) {
    for hosts in HOSTS {
        let x = ("hosts", hosts as f64);
        let mut asked = RequestDriver::new(hosts);
        bench.found(x, ("time a request", nanoseconds(|| asked.run_request(1000)), "ns"), &[]);
    }
}

fn by_open(bench: &mut Bench) {
    for open in OPEN {
        let x = ("open requests", open as f64);
        let made = |_| {
            let mut asked = RequestDriver::new(OF_A_ZONE);
            for _ in 0..open {
                asked.send_request(1000);
            }
            asked
        };
        let mut asked = made(0);
        bench.found(x, ("time a request", nanoseconds(|| asked.run_request(1000)), "ns"), &[]);
        bench.found(x, ("heap", bytes_of(COPIES, made), "B"), &[]);
    }
}

fn by_seen(bench: &mut Bench) {
    for seen in SEEN {
        let x = ("objects seen", seen as f64);
        let made = |_| {
            let mut asked = RequestDriver::new(OF_A_ZONE);
            (0..seen).for_each(|_| asked.run_request(seen as u64));
            asked
        };
        let mut asked = made(0);
        bench.found(x, ("time a request", nanoseconds(|| asked.run_request(seen as u64)), "ns"), &[]);
        bench.found(x, ("heap", bytes_of(2, made), "B"), &[]);
    }
}

fn by_purges(bench: &mut Bench) {
    for purges in PURGES {
        let x = ("purges in force", purges as f64);
        let mut asked = RequestDriver::new(OF_A_ZONE);
        for n in 0..purges as u64 {
            let object = Some(ObjectId(n.wrapping_mul(0x9E37_79B9_7F4A_7C15)));
            asked.dispatcher.handle(asked.now, Event::Purged { object, group: None, age: Duration::ZERO });
        }
        bench.found(x, ("time a request", nanoseconds(|| asked.run_request(1000)), "ns"), &[]);
    }
}
