//! Dissemination among real processes: control nodes and seven dispatchers at two sites, each beside a host of its own
//! whose copies are older than the purges. What is in effect is seen from outside: by what clients are served, and by the
//! log. Waits are for conditions; a wait for a time stands only where a process is to be away for that long.
#![allow(dead_code, reason = "each test file uses its own part")]

use rockflow_dissemination::{Directory, NodeId};
use rockflow_process_harness::datagrams::{MemberSet, PathConditions, Rule, RuleId};
use rockflow_process_harness::{wait_until, Fleet, Layout, Place, Signal};
use rockflow_test_servers::{DiscoveryServer, Host, TemporaryFolder};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Of the example: so long a purge binds, and so long its stream's entries are kept at the least.
pub const PURGE_WINDOW: Duration = Duration::from_secs(6);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Members of the first and of the second site.
const SITE_SIZES: [usize; 2] = [4, 3];
pub const MEMBER_COUNT: usize = SITE_SIZES[0] + SITE_SIZES[1];
/// So long nobody keeps a child, counts a report, or holds entries: past every wait there is.
pub const STATE_EXPIRY: Duration = Duration::from_secs(9);

/// One fleet at a time, so that none waits for another's share of the machine.
static EXCLUSIVE_FLEET: Mutex<()> = Mutex::new(());
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// What a fleet is laid out by.
pub struct FleetOptions {
    pub control_nodes: usize,
    pub heartbeat_interval: Duration,
    pub purge_window: Duration,
    /// Each site is a region of its own.
    pub two_regions: bool,
    /// Whether other fleets may run at the same time: for those that mostly wait.
    pub runs_in_parallel: bool,
    /// Dispatchers that know one cache alone, c1. The others know c2 beside it, and those of two regions c3 as well.
    pub single_cache_members: &'static [usize],
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            control_nodes: 2,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            purge_window: PURGE_WINDOW,
            two_regions: false,
            runs_in_parallel: false,
            single_cache_members: &[],
        }
    }
}

pub struct TestFleet {
    pub processes: Fleet,
    pub control_discovery: DiscoveryServer,
    _member_discovery: DiscoveryServer,
    /// By dispatcher: its first host, which answers.
    pub hosts: Vec<Host>,
    pub revision: u64,
    /// Objects purged so far.
    pub purged_objects: usize,
    /// How much each dispatcher had logged when all had settled.
    initial_log_lengths: Vec<usize>,
    _folder: TemporaryFolder,
    _exclusive: Option<MutexGuard<'static, ()>>,
}

pub fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn discovery_instance(name: &str, address: &str, machine_type: &str) -> Value {
    let zone = if machine_type == "box" { "shop" } else { "hub" };
    json!({"instanceId": name, "hostPort": address, "zone": zone, "machineType": machine_type, "cell": 0, "lifecycle": "active",
        "weight": 8, "startedAtMs": 0})
}

fn member_places(two_regions: bool) -> Vec<Place> {
    let place = |member: usize| Place {
        name: format!("n{member}"),
        region: if two_regions && member >= SITE_SIZES[0] { "there" } else { "here" }.to_string(),
        site: format!("site-{}", usize::from(member >= SITE_SIZES[0])),
        zone: "zone".to_string(),
    };
    (0..MEMBER_COUNT).map(place).collect()
}

pub fn site_members(site: usize) -> Range<usize> {
    if site == 0 {
        0..SITE_SIZES[0]
    } else {
        SITE_SIZES[0]..MEMBER_COUNT
    }
}

pub fn object_id(number: usize) -> String {
    format!("{number:04x}")
}

impl TestFleet {
    /// All run and serve, and what is published is in force everywhere.
    pub fn start() -> TestFleet {
        TestFleet::start_with(FleetOptions::default())
    }

    pub fn start_with(options: FleetOptions) -> TestFleet {
        let mut fleet = TestFleet::prepare(options);
        fleet.start_all();
        fleet
    }

    pub fn start_all(&mut self) {
        (0..self.processes.control.len()).for_each(|place| self.processes.start_control(place).unwrap());
        self.start_members();
        self.publish_purges(1);
        self.wait_until_replicated(0..self.processes.control.len());
        self.initial_log_lengths = self.processes.members.iter().map(|member| member.log().len()).collect();
    }

    /// Till all of them serve.
    pub fn start_members(&mut self) {
        (0..MEMBER_COUNT).for_each(|place| self.processes.start_member(place).unwrap());
        let ready =
            wait_until(WAIT_TIMEOUT, || self.processes.members.iter().all(|member| member.is_ready()));
        assert!(ready, "{}", self.logs());
    }

    /// All but the processes.
    pub fn prepare(options: FleetOptions) -> TestFleet {
        let FleetOptions {
            control_nodes,
            heartbeat_interval,
            purge_window,
            two_regions,
            runs_in_parallel,
            single_cache_members,
        } = options;
        let exclusive =
            (!runs_in_parallel).then(|| EXCLUSIVE_FLEET.lock().unwrap_or_else(PoisonError::into_inner));
        let folder = TemporaryFolder::new("faults");
        let hosts: Vec<_> =
            (0..MEMBER_COUNT).map(|at| Host::start(&format!("c1-{at}"), Duration::ZERO)).collect();
        hosts.iter().for_each(Host::enable_cache);
        let known = |(at, host): (usize, &Host)| {
            let own = host.address.to_string();
            let mut known = vec![
                discovery_instance("c1", &own, "box"),
                discovery_instance("p1", &own, "parent"),
                discovery_instance("o1", &own, "origin"),
            ];
            if !single_cache_members.contains(&at) {
                // At the same address: it answers the same.
                known.push(discovery_instance("c2", &own, "box"));
            }
            if two_regions {
                known.push(discovery_instance("c3", &own, "box"));
            }
            json!(known)
        };
        let known = hosts.iter().enumerate().map(known).collect();
        let (control_discovery, member_discovery) = (DiscoveryServer::start(), DiscoveryServer::start());
        let layout = Layout {
            program: env!("CARGO_BIN_EXE_rockflow").into(),
            folder: folder.path().to_path_buf(),
            control: control_nodes,
            members: member_places(two_regions),
            control_discovery: control_discovery.address,
            discovery: member_discovery.address,
            hosts: known,
            heartbeat_interval,
            purge_window,
            bytes_per_second: 65_536,
            seed: 34,
            // What is in effect is a line of the log.
            log_level: "debug",
        };
        let processes = Fleet::prepare(layout).unwrap();
        TestFleet {
            processes,
            control_discovery,
            _member_discovery: member_discovery,
            hosts,
            revision: 1,
            purged_objects: 0,
            initial_log_lengths: vec![0; MEMBER_COUNT],
            _folder: folder,
            _exclusive: exclusive,
        }
    }

    /// The board tells of so many purges, of objects that were not purged before. Says how many there were by then.
    pub fn publish_purges(&mut self, count: usize) -> usize {
        self.publish_purges_dated_by(count, now_unix_ms)
    }

    /// The same by another clock than ours.
    pub fn publish_purges_dated_by(&mut self, count: usize, clock: impl Fn() -> u64) -> usize {
        for _ in 0..count {
            self.purged_objects += 1;
            self.revision += 1;
            let flush = json!({"asset": object_id(self.purged_objects), "ms": clock()});
            self.control_discovery.publish(json!({"rev": self.revision, "flush": flush}));
        }
        self.purged_objects
    }

    /// Purges as many objects as that, of which every host has an older copy; till every client is served younger ones of
    /// the first and of the last.
    pub fn purge_and_wait_for_effect(&mut self, count: usize) -> usize {
        self.fill_next_objects(0..MEMBER_COUNT, count);
        let last = self.publish_purges(count);
        for member in 0..MEMBER_COUNT {
            self.wait_for_purge_effect(member, last + 1 - count);
            self.wait_for_purge_effect(member, last);
        }
        last
    }

    /// What a dispatcher's client is served of an object.
    pub fn request_object(&self, member: usize, number: usize) -> Result<String, String> {
        let call = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        self.processes.members[member].serve(&object_id(number), call).map_err(|error| error.to_string())
    }

    /// Fills copies of the next so many objects at these dispatchers' hosts, so that they are older than a purge.
    pub fn fill_next_objects(&self, members: impl IntoIterator<Item = usize>, count: usize) {
        for member in members {
            for number in self.purged_objects + 1..=self.purged_objects + count {
                self.wait_for_copy(member, number, 1);
            }
        }
    }

    /// Till a dispatcher's client is served a copy that is younger than the purge. Asked within the time that it binds.
    pub fn wait_for_purge_effect(&self, member: usize, number: usize) {
        self.wait_for_copy(member, number, 2);
    }

    /// Till a dispatcher's client is served this copy of an object. A host that can't be reached at once on a machine
    /// that is busy may be answered for with an error before.
    pub fn wait_for_copy(&self, member: usize, number: usize, copy: usize) {
        let (wanted, mut last) = (format!("copy {copy}"), Err(String::new()));
        let served = wait_until(WAIT_TIMEOUT, || {
            last = self.request_object(member, number);
            last.as_ref() == Ok(&wanted)
        });
        assert!(served, "object {number} at n{member}: {last:?}, not {wanted}; {}", self.logs());
    }

    /// Till these control nodes have said that the newest purge is in force everywhere: each line counts once for the
    /// stream it names, and numbers of a stream that is said stand for those before.
    pub fn wait_until_replicated(&self, control: impl IntoIterator<Item = usize> + Clone) {
        let said = wait_until(WAIT_TIMEOUT, || {
            control
                .clone()
                .into_iter()
                .all(|place| self.replicated_entries(place, "Purges") >= self.purged_objects as u64)
        });
        assert!(said, "{} purges; {}", self.purged_objects, self.logs());
    }

    /// How many of a kind a control node has said to be in force everywhere, in all streams.
    pub fn replicated_entries(&self, control: usize, kind: &str) -> u64 {
        highest_replicated(&self.processes.control[control].log(), kind).values().sum()
    }

    /// Of each life of each dispatcher by its own word: no purge was in effect a second time. So it is where every
    /// purge was published once; the one by which all settle may be published by two control nodes that have not heard
    /// each other yet.
    pub fn assert_no_purge_repeated(&self) {
        for (member, settled) in self.processes.members.iter().zip(&self.initial_log_lengths) {
            let mut any = false;
            for life in member.log()[*settled..].split("dissemination listens") {
                let mut seen = BTreeSet::new();
                let lines = life.lines().filter(|line| line.contains("purges in effect"));
                let objects = lines.filter_map(|line| log_field(line, "objects"));
                let objects =
                    objects.flat_map(|objects| objects.split(',')).filter(|object| !object.is_empty());
                objects.for_each(|object| assert!(seen.insert(object), "{object} twice at {}", member.name));
                any |= !seen.is_empty();
            }
            assert!(any, "{} has nothing in effect", member.name);
        }
    }

    /// Nothing goes from these places in the proxy to those.
    pub fn cut_paths(&self, from: MemberSet, to: MemberSet) -> RuleId {
        self.processes.proxy.add(Rule {
            from,
            to,
            path: PathConditions { cut: true, ..PathConditions::default() },
        })
    }

    /// The head of all: whom most stand behind.
    pub fn root_member(&self) -> usize {
        let text =
            std::fs::read_to_string(self.processes.layout().folder.join("control-0.directory.csv")).unwrap();
        let directory = Directory::parse(&text).unwrap();
        let slot = |at: usize| directory.place(NodeId::of(&format!("n{at}")), &[]).unwrap().slot;
        (0..MEMBER_COUNT).find(|at| slot(*at) == 0).unwrap()
    }

    pub fn members_except(&self, than: usize) -> Vec<usize> {
        (0..MEMBER_COUNT).filter(|at| *at != than).collect()
    }

    pub fn proxy_indices(&self, members: impl IntoIterator<Item = usize>) -> Vec<usize> {
        members.into_iter().map(|member| self.processes.proxy_index(member)).collect()
    }

    pub fn only_members(&self, members: impl IntoIterator<Item = usize>) -> MemberSet {
        MemberSet::only(self.processes.control.len() + MEMBER_COUNT, self.proxy_indices(members))
    }

    /// All but these, control nodes too.
    pub fn all_except(&self, members: impl IntoIterator<Item = usize>) -> MemberSet {
        MemberSet::all_except(self.processes.control.len() + MEMBER_COUNT, self.proxy_indices(members))
    }

    /// Till a dispatcher's log has said that a host is in this state; how often it says so.
    pub fn wait_for_state(&self, member: usize, host: &str, state: &str) -> usize {
        let says = || count_effective_lines(&self.processes.members[member].log(), host, state);
        assert!(wait_until(WAIT_TIMEOUT, || says() > 0), "n{member} {host} {state}: {}", self.logs());
        says()
    }

    /// Marks for all control nodes, which read them.
    pub fn set_overrides(&self, marks: &[(&str, &str)]) {
        (0..self.processes.control.len()).for_each(|place| self.set_overrides_at(place, marks));
    }

    pub fn set_overrides_at(&self, control: usize, marks: &[(&str, &str)]) {
        self.processes.write_overrides_at(control, marks).unwrap();
        self.processes.control[control].signal(Signal::SIGHUP).unwrap();
    }

    /// The ends of all logs, for whoever reads why a test failed.
    pub fn logs(&self) -> String {
        let all = self.processes.control.iter().chain(&self.processes.members);
        let tail = |text: &str| {
            let lines: Vec<_> = text.lines().collect();
            lines[lines.len().saturating_sub(12)..].join("\n")
        };
        all.map(|member| format!("\n== {}\n{}", member.name, tail(&member.log()))).collect()
    }
}

/// A field of a log line.
pub fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// A stream of one kind by the log: the control node that publishes it, and its incarnation.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoggedStream {
    pub control: String,
    pub incarnation: u64,
}

/// The highest number of a kind that is said to be everywhere, by stream. Each run of a control node has streams of its
/// own, which number from 1.
pub fn highest_replicated(log: &str, kind: &str) -> BTreeMap<LoggedStream, u64> {
    let mut tops = BTreeMap::new();
    let lines =
        log.lines().filter(|line| line.contains("everywhere") && log_field(line, "kind") == Some(kind));
    for line in lines {
        let number = |name| log_field(line, name).and_then(|value| value.parse::<u64>().ok());
        let (Some(control), Some(incarnation), Some(number)) =
            (log_field(line, "control"), number("incarnation"), number("number"))
        else {
            continue;
        };
        let stream = LoggedStream { control: control.to_string(), incarnation };
        let top = tops.entry(stream).or_insert(number);
        *top = number.max(*top);
    }
    tops
}

pub fn count_effective_lines(log: &str, host: &str, state: &str) -> usize {
    let says = |line: &&str| {
        line.contains("effective")
            && log_field(line, "endpoint") == Some(&format!("{host:?}"))
            && log_field(line, "state") == Some(state)
    };
    log.lines().filter(says).count()
}
