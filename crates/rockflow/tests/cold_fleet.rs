//! Fleets of three, thirty and three hundred in virtual time: a cold host gets no more from all of them together than it
//! bears, however uneven their traffic is, whenever each hears of the host, and also when most of them begin anew.

mod common;

use common::{excess, listing, World, STREAM};
use rockflow::interface::*;
use std::time::Duration;
use test_case::test_case;

const LINK: f64 = 8.0;
const OTHERS: u64 = 3;
const BEGIN: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(22);
/// Between two requests anywhere in the fleet.
const GAP: Duration = Duration::from_millis(2);
const TOOK: Duration = Duration::from_millis(60);

#[derive(Clone, Copy, Debug)]
struct Case {
    cold: Role,
    size_kb: f64,
    /// Some have several times the mean traffic.
    uneven: bool,
    /// Told within so long; zero: all at once.
    told_within: Duration,
    /// Seven in ten begin with nothing midway.
    again: bool,
}

fn hosts(cold: Role, begun: bool) -> Vec<Listing> {
    let of = |role: Role, first: u64| {
        (0..=OTHERS).filter_map(move |n| {
            let ours = role == cold && n == 0;
            (begun || !ours).then(|| listing(first + n, role, LINK, ours.then_some(BEGIN)))
        })
    };
    of(Role::Cache, 0).chain(of(Role::Parent, 100)).collect()
}

fn play(dispatchers: usize, case: Case, seed: u64) -> (Vec<Duration>, f64) {
    let mut world = World::new(seed, dispatchers, GAP * dispatchers as u32, case.size_kb, None);
    let cold = HostId(if case.cold == Role::Cache { 0 } else { 100 });
    for number in 0..dispatchers {
        if case.uneven {
            // One in five has three times the mean, the others half of it.
            world.shares[number] = if number % 5 == 0 { 3.0 } else { 0.5 };
        }
        world.restart(Duration::ZERO, number, hosts(case.cold, false));
        let told = BEGIN + case.told_within.mul_f64(world.chance.rand_float());
        let news = hosts(case.cold, true).into_iter().filter(|host| host.host == cold).collect();
        world.tell(told, number, Event::Listed { scope: ListScope::Changes, hosts: news });
        let phase = world.chance.rand_float();
        world.ask_from(BEGIN.mul_f64(0.5) + (GAP * dispatchers as u32).mul_f64(phase), number);
        if case.again && number % 10 < 7 {
            world.restart(BEGIN + Duration::from_secs(4), number, hosts(case.cold, true));
        }
    }
    world.play(END, |sent| match sent.looks() {
        true => (Outcome::Miss, Note::Untold, TOOK),
        false => (Outcome::Succeeded, Note::Filled, TOOK),
    });
    let there = world.sent.iter().filter(|sent| sent.leg.host == cold || sent.leg.source == Some(cold));
    let sent: Vec<_> = there.map(|sent| sent.at).collect();
    let over = excess(&sent, BEGIN, LINK, case.size_kb / STREAM);
    (sent, over)
}

#[test_case(3)]
#[test_case(30)]
#[test_case(300)]
fn a_cold_host_bears_what_a_fleet_sends(dispatchers: usize) {
    let mut broken = Vec::new();
    for cold in [Role::Cache, Role::Parent] {
        for size_kb in [50.0, 400.0] {
            for (uneven, told_ms, again) in [
                (false, 0, false),
                (true, 0, false),
                (true, 2500, false),
                (true, 0, true),
                (true, 2500, true),
            ] {
                let told_within = Duration::from_millis(told_ms);
                let case = Case { cold, size_kb, uneven, told_within, again };
                for seed in 1..=2 {
                    let (sent, over) = play(dispatchers, case, seed);
                    println!("{dispatchers} {case:?} seed {seed}: {} calls, {over:.1} over", sent.len());
                    if over > 0.0 || sent.is_empty() {
                        broken.push(format!("{case:?} seed {seed}: {over:.1} over, {} calls", sent.len()));
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
