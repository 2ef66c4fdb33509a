//! A cold host before a fleet: a cache or a parent that has just started, what all dispatchers together send it, and
//! whether that is more than it bears.

use crate::{excess, listing, worst_share, World, STREAM};
use rockflow::{CacheStatus, EndpointEntry, Event, HostId, ListScope, Outcome, Role};
use std::time::Duration;

const LINK: f64 = 8.0;
const OTHERS: u64 = 3;
const BEGIN: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(22);
/// Between two requests anywhere in the fleet, where a case does not say otherwise.
pub const GAP: Duration = Duration::from_millis(2);
const TOOK: Duration = Duration::from_millis(60);

/// What is cold, how the traffic is spread, and when each hears of it.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub cold: Role,
    pub size_kb: f64,
    /// Some have several times the mean traffic.
    pub uneven: bool,
    /// Told within so long; zero: all at once.
    pub told_within: Duration,
    /// Seven in ten begin with nothing midway.
    pub again: bool,
    /// Between two requests anywhere in the fleet.
    pub gap: Duration,
}

fn hosts(cold: Role, begun: bool) -> Vec<EndpointEntry> {
    let of = |role: Role, first: u64| {
        (0..=OTHERS).filter_map(move |n| {
            let ours = role == cold && n == 0;
            (begun || !ours).then(|| listing(first + n, role, LINK, ours.then_some(BEGIN)))
        })
    };
    of(Role::Cache, 0).chain(of(Role::Parent, 100)).collect()
}

/// What came to the cold host.
#[derive(Clone, Debug)]
pub struct Course {
    /// When each attempt was sent to it, or for it as a source.
    pub sent: Vec<Duration>,
    /// By how many calls it got more than it bears with chance, in the worst span.
    pub over: f64,
    /// The calls of the worst span over what it bears with chance.
    pub share: f64,
}

/// Plays one case.
pub fn play(dispatchers: usize, case: Case, seed: u64) -> Course {
    let mut world = World::new(seed, dispatchers, case.gap * dispatchers as u32, case.size_kb, None);
    let cold = HostId(if case.cold == Role::Cache { 0 } else { 100 });
    for number in 0..dispatchers {
        if case.uneven {
            // One in five has three times the mean, the others half of it.
            world.shares[number] = if number % 5 == 0 { 3.0 } else { 0.5 };
        }
        world.restart(Duration::ZERO, number, hosts(case.cold, false));
        let told = BEGIN + case.told_within.mul_f64(world.chance.rand_float());
        let news = hosts(case.cold, true).into_iter().filter(|host| host.host == cold).collect();
        world.tell(told, number, Event::EndpointsListed { scope: ListScope::Changes, entries: news });
        let phase = world.chance.rand_float();
        world.ask_from(BEGIN.mul_f64(0.5) + (case.gap * dispatchers as u32).mul_f64(phase), number);
        if case.again && number % 10 < 7 {
            world.restart(BEGIN + Duration::from_secs(4), number, hosts(case.cold, true));
        }
    }
    world.play(END, |sent| match sent.looks() {
        true => (Outcome::Miss, CacheStatus::Unknown, TOOK),
        false => (Outcome::Succeeded, CacheStatus::Filled, TOOK),
    });
    let there =
        world.sent.iter().filter(|sent| sent.attempt.host == cold || sent.attempt.source == Some(cold));
    let sent: Vec<_> = there.map(|sent| sent.at).collect();
    let work = case.size_kb / STREAM;
    let (over, share) = (excess(&sent, BEGIN, LINK, work), worst_share(&sent, BEGIN, LINK, work));
    Course { sent, over, share }
}
