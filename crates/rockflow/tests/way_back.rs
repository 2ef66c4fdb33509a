//! A gate shut by a burst of late answers, then parents that are well: until fills go out as ever again takes at most
//! three of the longest outer limit after the last late one, however few requests there are and whatever the lot.

use rockflow::{CacheStatus, Outcome, Role};
use rockflow_routing_simulation::{listing, Final, World, LONGEST};
use std::time::Duration;
use test_case::test_case;

const BURST: Duration = Duration::from_secs(10);

/// Asks every `gap`; fills take 1.5 s during the burst, then `late` of them. Returns the share dismissed of what was
/// asked in the last seconds of the burst, in the time that the way back may take, and after it.
fn dismissed(gap: Duration, late: f64, seed: u64) -> [f64; 3] {
    let mut world = World::new(seed, 1, gap, 10.0, None);
    let hosts = vec![listing(1, Role::Cache, 1000.0, None), listing(100, Role::Parent, 1000.0, None)];
    world.restart(Duration::ZERO, 0, hosts);
    world.ask_from(Duration::ZERO, 0);
    let mut chance = oorandom::Rand64::new(u128::from(seed));
    world.play(BURST + 12 * LONGEST, |sent| {
        let slow = sent.at < BURST || chance.rand_float() < late;
        match sent.looks() {
            true => (Outcome::Miss, CacheStatus::Unknown, Duration::from_millis(1)),
            false => {
                (Outcome::Succeeded, CacheStatus::Filled, Duration::from_millis(if slow { 1500 } else { 60 }))
            }
        }
    });
    // The last late one of the burst ends this much after it.
    let well = BURST + Duration::from_millis(1500);
    let spans = [(BURST / 2, BURST), (well, well + 3 * LONGEST), (well + 3 * LONGEST, well + 10 * LONGEST)];
    spans.map(|(from, to)| {
        let asked = || world.asked.values().filter(|asked| (from..to).contains(&asked.at));
        let dismissed = asked().filter(|asked| asked.finals.iter().any(|(_, how)| *how == Final::Dismissed));
        dismissed.count() as f64 / asked().count().max(1) as f64
    })
}

#[test_case(20, 0.0; "many queries")]
#[test_case(200, 0.0; "some")]
#[test_case(1000, 0.0; "few")]
#[test_case(20, 0.1; "many queries, a tenth of the answers still late")]
#[test_case(200, 0.1; "some, a tenth still late")]
fn the_way_back_has_a_bound(gap: u64, late: f64) {
    for seed in 1..=20 {
        let [shut, back, after] = dismissed(Duration::from_millis(gap), late, seed);
        println!(
            "seed {seed}: {shut:.2} dismissed while shut, {back:.3} on the way back, {after:.3} after it"
        );
        assert!(shut > 0.8, "seed {seed}: the gate was never shut");
        // A fill that is late itself ends dismissed; hardly one more does.
        assert!(after <= 3.0 * late, "seed {seed}: {after} still dismissed");
    }
}
