//! Dissemination among real processes of which some are stopped or unreachable for minutes. The tests mostly wait, so
//! their fleets run in parallel.
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

/// Repeats `check` until `duration` has passed since `start`.
fn repeat_for(start: Instant, duration: Duration, mut check: impl FnMut()) {
    while start.elapsed() < duration {
        check();
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
}

#[test]
fn a_relaying_member_suspended_for_a_minute_in_a_burst_catches_up() {
    let mut fleet = start(FleetOptions::default());
    let root = fleet.root_member();
    fleet.fill_next_objects(0..MEMBER_COUNT, 60);
    fleet.publish_purges(30);
    fleet.processes.members[root].signal(Signal::SIGSTOP).unwrap();
    let outage_start = Instant::now();
    fleet.publish_purges(30);
    let last_of_burst = fleet.purged_objects;
    for member in fleet.members_except(root) {
        fleet.wait_for_purge_effect(member, last_of_burst);
    }
    // Longer than any timeout, and longer than entries of purges are kept. The other members keep working.
    repeat_for(outage_start, MINUTE, || {
        assert!(
            fleet.replicated_entries(0, "Purges") < last_of_burst as u64,
            "reported as replicated to all while a member is stopped: {}",
            fleet.logs()
        );
        fleet.publish_purges(1);
    });
    fleet.fill_next_objects(fleet.members_except(root), 20);
    fleet.publish_purges(20);
    let last = fleet.purged_objects;
    for member in fleet.members_except(root) {
        fleet.wait_for_purge_effect(member, last);
    }
    assert!(fleet.replicated_entries(0, "Purges") < last_of_burst as u64, "{}", fleet.logs());
    fleet.processes.members[root].signal(Signal::SIGCONT).unwrap();
    fleet.wait_until_replicated(0..2);
    // The newest purges that the member missed are still in effect, even those whose entries are no longer kept. The
    // other members are not purged again: they keep the copies that they have filled since.
    for member in fleet.members_except(root) {
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
    (0..2).for_each(|control| fleet.processes.control[control].kill());
    let outage_start = Instant::now();
    repeat_for(outage_start, 2 * MINUTE, || {
        for member in 0..MEMBER_COUNT {
            let log = fleet.processes.members[member].log();
            let counts =
                (count_effective_lines(&log, "c2", "Draining"), count_effective_lines(&log, "c2", "Ready"));
            assert_eq!(counts, (1, 0), "n{member} after {:?}", outage_start.elapsed());
        }
    });
    (0..MEMBER_COUNT).for_each(|member| fleet.wait_for_copy(member, 1, 1));
    // The control nodes restart with the same overrides: none is withdrawn, and none takes effect a second time.
    (0..2).for_each(|control| fleet.processes.start_control(control).unwrap());
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
    // Each region has its own control node.
    let region_nodes = |fleet: &TestFleet, region: usize| {
        let members = site_members(region).map(|member| fleet.processes.proxy_index(member));
        MemberSet::only(2 + MEMBER_COUNT, members.chain([region]))
    };
    let (first, second) = (region_nodes(&fleet, 0), region_nodes(&fleet, 1));
    let rules = [fleet.cut_paths(first.clone(), second.clone()), fleet.cut_paths(second, first)];
    let outage_start = Instant::now();
    // Until the reports that each region has of the other have expired.
    std::thread::sleep(STATE_EXPIRY);
    let replicated_before = [fleet.replicated_entries(0, "Purges"), fleet.replicated_entries(1, "Purges")];
    fleet.set_overrides_at(0, &[("c2", "draining")]);
    fleet.set_overrides_at(1, &[("c3", "draining")]);
    site_members(0)
        .for_each(|member| assert_eq!(fleet.wait_for_state(member, "c2", "Draining"), 1, "n{member}"));
    site_members(1)
        .for_each(|member| assert_eq!(fleet.wait_for_state(member, "c3", "Draining"), 1, "n{member}"));
    repeat_for(outage_start, MINUTE, || {
        fleet.purge_and_wait_for_effect(2);
    });
    let draining_lines = |member: usize, host: &str| {
        count_effective_lines(&fleet.processes.members[member].log(), host, "Draining")
    };
    assert!(
        site_members(0).all(|member| draining_lines(member, "c3") == 0)
            && site_members(1).all(|member| draining_lines(member, "c2") == 0)
    );
    assert_eq!(
        [fleet.replicated_entries(0, "Purges"), fleet.replicated_entries(1, "Purges")],
        replicated_before,
        "{}",
        fleet.logs()
    );
    rules.into_iter().for_each(|rule| fleet.processes.proxy.remove(rule));
    // New purges take effect while the regions converge, and then the overrides of both apply in both.
    for _ in 0..5 {
        fleet.purge_and_wait_for_effect(2);
    }
    for host in ["c2", "c3"] {
        (0..MEMBER_COUNT).for_each(|member| {
            assert_eq!(fleet.wait_for_state(member, host, "Draining"), 1, "n{member} {host}")
        });
    }
    fleet.wait_until_replicated(0..2);
    let overrides_are_replicated =
        || (0..2).all(|control| fleet.replicated_entries(control, "Configuration") >= 2);
    assert!(wait_until(WAIT_TIMEOUT, overrides_are_replicated), "{}", fleet.logs());
}
