//! Fifty dispatchers in virtual time, each of which sees only its own part, and one cold host among those of its role:
//! what all of them together send there stays within the told limit, whatever their phases.

use rockflow::interface::*;
use rockflow::Dispatcher;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use test_case::test_case;

const DISPATCHERS: usize = 50;
const STREAM: f64 = 1000.0;
const SIZE_KB: f64 = 50.0;
const LINK: f64 = 8.0;
const COLD: ColdStart =
    ColdStart { share: 0.1, ramp: Duration::from_secs(20), multiple: 2.0, span: Duration::from_secs(2) };
const CACHES: u64 = 4;
const PARENTS: u64 = 4;
const COLD_PARENT: HostId = HostId(100);
const COLD_CACHE: HostId = HostId(0);
const BEGIN: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, PartialEq)]
enum Start {
    Phases,
    AtOnce,
    /// Seven in ten are killed midway and come back with empty views.
    Again,
}

fn deployment(number: usize) -> Deployment {
    let product = Product {
        effect: Effect::Redoable,
        due: Duration::from_millis(500),
        stretch: 2.0,
        outer_limit: Duration::from_secs(3),
        payoff: 1.0,
        late_payoff: 0.2,
        fresh: Duration::from_secs(10),
        grace: Duration::from_secs(20),
        cacheable: true,
    };
    Deployment {
        location: LocationId(1),
        seats: DISPATCHERS,
        dispatchers: DISPATCHERS,
        number,
        products: vec![product],
        weights: Weights::Link,
        cold_cache: COLD,
        cold_parent: COLD,
        purge_done: Duration::from_secs(6),
        stream_kb_per_s: STREAM,
        notes: Notes::All,
        joins: true,
        direct: false,
        second_copies: true,
        cancel: true,
        probes: false,
        leg_limit: 6,
        most_held: 1000,
        longest_pause: None,
        ask_within: None,
    }
}

fn hosts(cold: HostId) -> Vec<Listing> {
    let listing = |id: u64, role: Role| Listing {
        host: HostId(id),
        cell: CellId(0),
        location: LocationId(1),
        role,
        readiness: Readiness::Ready,
        weight: LINK,
        started: (HostId(id) == cold).then_some(BEGIN),
    };
    let caches = (0..CACHES).map(|id| listing(id, Role::Cache));
    caches.chain((100..100 + PARENTS).map(|id| listing(id, Role::Parent))).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Restart,
    Ask,
    /// A look misses; whatever may fill does.
    Ends {
        query: u64,
        leg: u16,
        host: u64,
        look: bool,
    },
}

/// Plays a fleet and returns when something was sent to the cold host, and how much was asked for in all.
fn play(start: Start, cold: HostId, seed: u64) -> (Vec<Duration>, usize) {
    let mut chance = oorandom::Rand64::new(u128::from(seed));
    let mut due = BinaryHeap::new();
    let begin = |number: usize, seed: u64| {
        let mut dispatcher = Dispatcher::new(deployment(number), seed);
        dispatcher.start();
        dispatcher.handle(BEGIN, Event::Listed { scope: ListScope::Remembered, hosts: hosts(cold) });
        dispatcher
    };
    let mut fleet: Vec<_> = (0..DISPATCHERS).map(|number| begin(number, seed + number as u64)).collect();
    let gap = Duration::from_millis(100);
    for number in 0..DISPATCHERS {
        let phase = if start == Start::Phases { gap.mul_f64(chance.rand_float()) } else { Duration::ZERO };
        due.push(Reverse((BEGIN + phase, number, Happens::Ask)));
        if start == Start::Again && number % 10 < 7 {
            due.push(Reverse((BEGIN + Duration::from_secs(5), number, Happens::Restart)));
        }
    }
    let (mut sent, mut next, mut asked) = (Vec::new(), 0, 0);
    let mut legs = BTreeMap::new();
    while let Some(Reverse((now, number, what))) = due.pop().filter(|Reverse((now, ..))| *now < END) {
        let event = match what {
            Happens::Restart => {
                fleet[number] = begin(number, seed + 1000 + number as u64);
                continue;
            }
            Happens::Ask => {
                due.push(Reverse((now + gap, number, Happens::Ask)));
                (next, asked) = (next + 1, asked + 1);
                Event::Asked(Query {
                    id: QueryId(next),
                    product: ProductId(0),
                    object: ObjectId(chance.rand_u64()),
                    part: 0,
                    group: GroupId(0),
                    time_left: Duration::from_secs(3),
                    size_kb: SIZE_KB,
                })
            }
            Happens::Ends { query, leg, host, look } => Event::LegEnded(LegEnd {
                query: QueryId(query),
                leg: LegNo(leg),
                host: HostId(host),
                outcome: if look { Outcome::Miss } else { Outcome::Succeeded },
                took: Duration::from_millis(60),
                over: !look,
                note: if look { Note::Untold } else { Note::Filled },
                fill_wait: Duration::ZERO,
            }),
        };
        for action in fleet[number].handle(now, event) {
            if let Action::Send { query, leg } = action {
                if leg.host == cold || leg.source == Some(cold) {
                    sent.push(now);
                }
                let look = leg.held_at_source || leg.source.is_none();
                let no = legs.entry(query).or_insert(0);
                let ends = Happens::Ends { query: query.0, leg: *no, host: leg.host.0, look };
                *no += 1;
                due.push(Reverse((now + Duration::from_millis(60), number, ends)));
            }
        }
    }
    (sent, asked)
}

#[test_case(Start::Phases, COLD_PARENT; "phases, a parent")]
#[test_case(Start::AtOnce, COLD_PARENT; "at once, a parent")]
#[test_case(Start::Again, COLD_PARENT; "seven in ten again, a parent")]
#[test_case(Start::Phases, COLD_CACHE; "phases, a cache")]
#[test_case(Start::AtOnce, COLD_CACHE; "at once, a cache")]
#[test_case(Start::Again, COLD_CACHE; "seven in ten again, a cache")]
fn a_cold_host_gets_no_more_than_it_bears_from_all_together(start: Start, cold: HostId) {
    for seed in 1..=5 {
        let (sent, asked) = play(start, cold, seed);
        let work = SIZE_KB / STREAM;
        let mut fullest: f64 = 0.0;
        for (n, at) in sent.iter().enumerate() {
            let within = sent[n..].iter().take_while(|later| **later < *at + COLD.span).count() as f64;
            // By what it bears at the start of the span, when that is least.
            let age = (*at - BEGIN).as_secs_f64() / COLD.ramp.as_secs_f64();
            let share = (COLD.share + (1.0 - COLD.share) * age).min(1.0);
            fullest = fullest.max(within * work / (COLD.multiple * share * LINK * COLD.span.as_secs_f64()));
        }
        // A quarter of all would fall to it: several times what it bears when it is cold.
        let wanted = asked as f64 / 4.0 * work / (END - BEGIN).as_secs_f64();
        assert!(wanted > 2.0 * COLD.multiple * COLD.share * LINK, "{wanted} offers too little");
        assert!(fullest <= 1.0, "seed {seed}: {fullest:.2} of what it bears");
        assert!(fullest > 0.05, "seed {seed}: {fullest:.2}: it never warms up");
        println!("seed {seed}: {fullest:.2}, {} legs", sent.len());
    }
}
