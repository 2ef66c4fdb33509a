//! Dissemination among real processes that are away for minutes. Each mostly waits, so they run beside each other.
#![cfg(feature = "dissemination")]

mod rig;

use rig::*;
use rockflow_process_harness::datagrams::MemberSet;
use rockflow_process_harness::{wait_until, Signal};
use std::time::{Duration, Instant};

const MINUTE: Duration = Duration::from_secs(60);

fn start(lay: Lay) -> Rig {
    Rig::with(Lay { beside_others: true, ..lay })
}

/// Goes on till so long has passed; what is away is away meanwhile.
fn while_away(begun: Instant, span: Duration, mut each: impl FnMut()) {
    while begun.elapsed() < span {
        each();
        std::thread::sleep(PULSE);
    }
}

#[test]
fn who_passes_on_is_stopped_for_a_minute_in_a_burst_and_wakes_with_old_numbers() {
    let mut rig = start(Lay::default());
    let head = rig.head();
    rig.fill(0..MEMBERS, 60);
    rig.purge(30);
    rig.fleet.members[head].signal(Signal::SIGSTOP).unwrap();
    let begun = Instant::now();
    rig.purge(30);
    let first = rig.purged;
    for member in rig.others(head) {
        rig.in_effect(member, first);
    }
    // Beyond every wait, and beyond what is kept of the purges; the others go on.
    while_away(begun, MINUTE, || {
        assert!(
            rig.said(0, "Purges") < first as u64,
            "said to be everywhere while one is stopped: {}",
            rig.logs()
        );
        rig.purge(1);
    });
    rig.fill(rig.others(head), 20);
    rig.purge(20);
    let last = rig.purged;
    for member in rig.others(head) {
        rig.in_effect(member, last);
    }
    assert!(rig.said(0, "Purges") < first as u64, "{}", rig.logs());
    rig.fleet.members[head].signal(Signal::SIGCONT).unwrap();
    rig.everywhere(0..2);
    // Of what it missed the newest binds still, also behind the floor; the others keep what they had filled since.
    for member in rig.others(head) {
        assert_eq!(rig.served(member, last).as_deref(), Ok("copy 2"), "n{member}");
    }
    rig.purge_heeded_by_all(1);
    rig.everywhere(0..2);
    rig.each_once();
}

#[test]
fn without_control_for_minutes_the_last_good_version_stays_in_force() {
    let mut rig = start(Lay::default());
    rig.mark(&[("c2", "draining")]);
    (0..MEMBERS).for_each(|member| assert_eq!(rig.state(member, "c2", "Draining"), 1));
    (0..2).for_each(|place| rig.fleet.control[place].kill());
    let begun = Instant::now();
    while_away(begun, 2 * MINUTE, || {
        for member in 0..MEMBERS {
            let log = rig.fleet.members[member].log();
            let said = (effective(&log, "c2", "Draining"), effective(&log, "c2", "Ready"));
            assert_eq!(said, (1, 0), "n{member} after {:?}", begun.elapsed());
        }
    });
    (0..MEMBERS).for_each(|member| rig.copy(member, 1, 1));
    // They come back with the same marks: nothing is taken back, and nothing is in effect a second time.
    (0..2).for_each(|place| rig.fleet.start_control(place).unwrap());
    rig.purge_heeded_by_all(1);
    rig.mark(&[]);
    for member in 0..MEMBERS {
        assert_eq!(rig.state(member, "c2", "Ready"), 1, "n{member}");
        assert_eq!(rig.state(member, "c2", "Draining"), 1, "n{member}");
    }
}

#[test]
fn two_regions_that_are_apart_for_a_minute_go_on_and_meet() {
    let mut rig = start(Lay { two_regions: true, ..Lay::default() });
    // Each has a control node on its side.
    let side = |rig: &Rig, number: usize| {
        let members = site(number).map(|member| rig.fleet.proxy_index(member));
        MemberSet::only(2 + MEMBERS, members.chain([number]))
    };
    let (here, there) = (side(&rig, 0), side(&rig, 1));
    let ids = [rig.cut(here.clone(), there.clone()), rig.cut(there, here)];
    let begun = Instant::now();
    // Till nobody counts what the other side said before.
    std::thread::sleep(LONG);
    let before = [rig.said(0, "Purges"), rig.said(1, "Purges")];
    rig.mark_at(0, &[("c2", "draining")]);
    rig.mark_at(1, &[("c3", "draining")]);
    site(0).for_each(|member| assert_eq!(rig.state(member, "c2", "Draining"), 1, "n{member}"));
    site(1).for_each(|member| assert_eq!(rig.state(member, "c3", "Draining"), 1, "n{member}"));
    while_away(begun, MINUTE, || {
        rig.purge_heeded_by_all(2);
    });
    let across = |member: usize, host: &str| effective(&rig.fleet.members[member].log(), host, "Draining");
    assert!(
        site(0).all(|member| across(member, "c3") == 0) && site(1).all(|member| across(member, "c2") == 0)
    );
    assert_eq!([rig.said(0, "Purges"), rig.said(1, "Purges")], before, "{}", rig.logs());
    ids.into_iter().for_each(|id| rig.fleet.proxy.remove(id));
    // Today's go on while they meet, and what each side said holds at both.
    for _ in 0..5 {
        rig.purge_heeded_by_all(2);
    }
    for host in ["c2", "c3"] {
        (0..MEMBERS)
            .for_each(|member| assert_eq!(rig.state(member, host, "Draining"), 1, "n{member} {host}"));
    }
    rig.everywhere(0..2);
    let settings = || (0..2).all(|place| rig.said(place, "Configuration") >= 2);
    assert!(wait_until(PATIENCE, settings), "{}", rig.logs());
}
