//! Dissemination among real processes that are away for minutes. Each mostly waits, so they run beside each other.
#![cfg(feature = "dissemination")]

mod test_fleet;

use rockflow_process_harness::datagrams::MemberSet;
use rockflow_process_harness::{wait_until, Signal};
use std::time::{Duration, Instant};
use test_fleet::*;

const MINUTE: Duration = Duration::from_secs(60);

fn start(options: FleetOptions) -> TestFleet {
    TestFleet::start_with(FleetOptions { runs_in_parallel: true, ..options })
}

/// Goes on till so long has passed; what is away is away meanwhile.
fn while_away(begun: Instant, span: Duration, mut each: impl FnMut()) {
    while begun.elapsed() < span {
        each();
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
}

#[test]
fn a_relaying_member_suspended_for_a_minute_in_a_burst_catches_up() {
    let mut fleet = start(FleetOptions::default());
    let head = fleet.root_member();
    fleet.fill_next_objects(0..MEMBER_COUNT, 60);
    fleet.publish_purges(30);
    fleet.processes.members[head].signal(Signal::SIGSTOP).unwrap();
    let begun = Instant::now();
    fleet.publish_purges(30);
    let first = fleet.purged_objects;
    for member in fleet.members_except(head) {
        fleet.wait_for_purge_effect(member, first);
    }
    // Beyond every wait, and beyond what is kept of the purges; the others go on.
    while_away(begun, MINUTE, || {
        assert!(
            fleet.replicated_entries(0, "Purges") < first as u64,
            "said to be everywhere while one is stopped: {}",
            fleet.logs()
        );
        fleet.publish_purges(1);
    });
    fleet.fill_next_objects(fleet.members_except(head), 20);
    fleet.publish_purges(20);
    let last = fleet.purged_objects;
    for member in fleet.members_except(head) {
        fleet.wait_for_purge_effect(member, last);
    }
    assert!(fleet.replicated_entries(0, "Purges") < first as u64, "{}", fleet.logs());
    fleet.processes.members[head].signal(Signal::SIGCONT).unwrap();
    fleet.wait_until_replicated(0..2);
    // Of what it missed the newest binds still, also behind the floor; the others keep what they had filled since.
    for member in fleet.members_except(head) {
        assert_eq!(fleet.request_object(member, last).as_deref(), Ok("copy 2"), "n{member}");
    }
    fleet.purge_and_wait_for_effect(1);
    fleet.wait_until_replicated(0..2);
    fleet.assert_no_purge_repeated();
}

#[test]
fn overrides_stay_in_effect_without_control_nodes_for_minutes() {
    let mut fleet = start(FleetOptions::default());
    fleet.set_overrides(&[("c2", "draining")]);
    (0..MEMBER_COUNT).for_each(|member| assert_eq!(fleet.wait_for_state(member, "c2", "Draining"), 1));
    (0..2).for_each(|place| fleet.processes.control[place].kill());
    let begun = Instant::now();
    while_away(begun, 2 * MINUTE, || {
        for member in 0..MEMBER_COUNT {
            let log = fleet.processes.members[member].log();
            let said =
                (count_effective_lines(&log, "c2", "Draining"), count_effective_lines(&log, "c2", "Ready"));
            assert_eq!(said, (1, 0), "n{member} after {:?}", begun.elapsed());
        }
    });
    (0..MEMBER_COUNT).for_each(|member| fleet.wait_for_copy(member, 1, 1));
    // They come back with the same marks: nothing is taken back, and nothing is in effect a second time.
    (0..2).for_each(|place| fleet.processes.start_control(place).unwrap());
    fleet.purge_and_wait_for_effect(1);
    fleet.set_overrides(&[]);
    for member in 0..MEMBER_COUNT {
        assert_eq!(fleet.wait_for_state(member, "c2", "Ready"), 1, "n{member}");
        assert_eq!(fleet.wait_for_state(member, "c2", "Draining"), 1, "n{member}");
    }
}

#[test]
fn two_regions_partitioned_for_a_minute_keep_working_and_converge() {
    let mut fleet = start(FleetOptions { two_regions: true, ..FleetOptions::default() });
    // Each has a control node on its side.
    let side = |fleet: &TestFleet, number: usize| {
        let members = site_members(number).map(|member| fleet.processes.proxy_index(member));
        MemberSet::only(2 + MEMBER_COUNT, members.chain([number]))
    };
    let (here, there) = (side(&fleet, 0), side(&fleet, 1));
    let ids = [fleet.cut_paths(here.clone(), there.clone()), fleet.cut_paths(there, here)];
    let begun = Instant::now();
    // Till nobody counts what the other side said before.
    std::thread::sleep(STATE_EXPIRY);
    let before = [fleet.replicated_entries(0, "Purges"), fleet.replicated_entries(1, "Purges")];
    fleet.set_overrides_at(0, &[("c2", "draining")]);
    fleet.set_overrides_at(1, &[("c3", "draining")]);
    site_members(0)
        .for_each(|member| assert_eq!(fleet.wait_for_state(member, "c2", "Draining"), 1, "n{member}"));
    site_members(1)
        .for_each(|member| assert_eq!(fleet.wait_for_state(member, "c3", "Draining"), 1, "n{member}"));
    while_away(begun, MINUTE, || {
        fleet.purge_and_wait_for_effect(2);
    });
    let across = |member: usize, host: &str| {
        count_effective_lines(&fleet.processes.members[member].log(), host, "Draining")
    };
    assert!(
        site_members(0).all(|member| across(member, "c3") == 0)
            && site_members(1).all(|member| across(member, "c2") == 0)
    );
    assert_eq!(
        [fleet.replicated_entries(0, "Purges"), fleet.replicated_entries(1, "Purges")],
        before,
        "{}",
        fleet.logs()
    );
    ids.into_iter().for_each(|id| fleet.processes.proxy.remove(id));
    // Today's go on while they meet, and what each side said holds at both.
    for _ in 0..5 {
        fleet.purge_and_wait_for_effect(2);
    }
    for host in ["c2", "c3"] {
        (0..MEMBER_COUNT).for_each(|member| {
            assert_eq!(fleet.wait_for_state(member, host, "Draining"), 1, "n{member} {host}")
        });
    }
    fleet.wait_until_replicated(0..2);
    let settings = || (0..2).all(|place| fleet.replicated_entries(place, "Configuration") >= 2);
    assert!(wait_until(WAIT_TIMEOUT, settings), "{}", fleet.logs());
}
