//! A fleet of real processes for tests of dissemination: control nodes, and seven dispatchers at two sites. Each
//! dispatcher has its own host, whose cached copies are older than the purges. Tests check which purges and overrides
//! are in effect from outside, by the copies that clients are served and by the logs. They wait for conditions, and
//! sleep for a fixed time only where a process has to be unreachable for that long.
#![allow(dead_code, reason = "each test file uses other items")]

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

/// Longest wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a purge is in effect in the example configuration, and for how long its entry is kept at least.
pub const PURGE_WINDOW: Duration = Duration::from_secs(6);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Lines of each log in the message of a failed assertion.
const LOG_TAIL_LINES: usize = 12;
/// Numbers of dispatchers at the first and at the second site.
const SITE_SIZES: [usize; 2] = [4, 3];
pub const MEMBER_COUNT: usize = SITE_SIZES[0] + SITE_SIZES[1];
/// Longer than any timeout of dissemination: after this time without contact no node keeps a child or its report, or
/// entries of purges.
pub const STATE_EXPIRY: Duration = Duration::from_secs(9);

/// Held by a fleet that must run alone, so that waits don't time out because other fleets use the processors.
static EXCLUSIVE_FLEET: Mutex<()> = Mutex::new(());
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// How a test fleet differs from the default.
pub struct FleetOptions {
    pub control_nodes: usize,
    pub heartbeat_interval: Duration,
    pub purge_window: Duration,
    /// Whether each site is its own region; otherwise both sites are in one region.
    pub two_regions: bool,
    /// Whether other fleets may run at the same time. For tests that mostly wait.
    pub runs_in_parallel: bool,
    /// Dispatchers whose only cache is c1; the others also know c2. With two regions every dispatcher also knows c3.
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

/// A fleet with its servers and hosts. All of them stop when it is dropped.
pub struct TestFleet {
    pub processes: Fleet,
    /// The discovery server of the control nodes, which announces the purges.
    pub control_discovery: DiscoveryServer,
    /// The discovery server of the dispatchers, which announces nothing.
    _member_discovery: DiscoveryServer,
    /// The host of each dispatcher. It serves under all names that the dispatcher knows.
    pub hosts: Vec<Host>,
    /// Revision of the last event of `control_discovery`.
    pub revision: u64,
    /// How many objects were purged so far. They are numbered from 1 in the order of their purges.
    pub purged_objects: usize,
    /// Length of each dispatcher's log, in bytes, when the purge of the start was replicated to all.
    initial_log_lengths: Vec<usize>,
    _folder: TemporaryFolder,
    _exclusive: Option<MutexGuard<'static, ()>>,
}

pub fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn discovery_instance(name: &str, address: &str, machine_type: &str) -> Value {
    let zone = if machine_type == "box" { "shop" } else { "hub" };
    json!({"instanceId": name, "hostPort": address, "zone": zone, "machineType": machine_type, "cell": 0,
        "lifecycle": "active", "weight": 8, "startedAtMs": 0})
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

/// The dispatchers of a site, 0 or 1.
pub fn site_members(site: usize) -> Range<usize> {
    if site == 0 {
        0..SITE_SIZES[0]
    } else {
        SITE_SIZES[0]..MEMBER_COUNT
    }
}

/// The object's id, as discovery and clients write it.
pub fn object_id(number: usize) -> String {
    format!("{number:04x}")
}

impl TestFleet {
    /// Starts the default fleet. All processes are ready, and a first purge is replicated to all.
    pub fn start() -> TestFleet {
        TestFleet::start_with(FleetOptions::default())
    }

    /// The same with other options.
    pub fn start_with(options: FleetOptions) -> TestFleet {
        let mut fleet = TestFleet::prepare(options);
        fleet.start_all();
        fleet
    }

    /// Starts all processes, and waits until they are ready and a first purge is replicated to all.
    pub fn start_all(&mut self) {
        (0..self.processes.control.len()).for_each(|control| self.processes.start_control(control).unwrap());
        self.start_members();
        self.publish_purges(1);
        self.wait_until_replicated(0..self.processes.control.len());
        self.initial_log_lengths = self.processes.members.iter().map(|member| member.log().len()).collect();
    }

    /// Starts the dispatchers, and waits until all are ready.
    pub fn start_members(&mut self) {
        (0..MEMBER_COUNT).for_each(|member| self.processes.start_member(member).unwrap());
        let ready =
            wait_until(WAIT_TIMEOUT, || self.processes.members.iter().all(|member| member.is_ready()));
        assert!(ready, "{}", self.logs());
    }

    /// Starts the servers and hosts and writes the files, but starts no process.
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
            (0..MEMBER_COUNT).map(|member| Host::start(&format!("c1-{member}"), Duration::ZERO)).collect();
        hosts.iter().for_each(Host::enable_cache);
        let known_hosts = |(member, host): (usize, &Host)| {
            let address = host.address.to_string();
            let mut known = vec![
                discovery_instance("c1", &address, "box"),
                discovery_instance("p1", &address, "parent"),
                discovery_instance("o1", &address, "origin"),
            ];
            if !single_cache_members.contains(&member) {
                // At the same address, so c1 and c2 serve the same copies.
                known.push(discovery_instance("c2", &address, "box"));
            }
            if two_regions {
                known.push(discovery_instance("c3", &address, "box"));
            }
            json!(known)
        };
        let known_hosts = hosts.iter().enumerate().map(known_hosts).collect();
        let (control_discovery, member_discovery) = (DiscoveryServer::start(), DiscoveryServer::start());
        let layout = Layout {
            program: env!("CARGO_BIN_EXE_rockflow").into(),
            folder: folder.path().to_path_buf(),
            control: control_nodes,
            members: member_places(two_regions),
            control_discovery: control_discovery.address,
            discovery: member_discovery.address,
            hosts: known_hosts,
            heartbeat_interval,
            purge_window,
            bytes_per_second: 65_536,
            seed: 34,
            // At this level dispatchers log which purges and overrides are in effect.
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

    /// Announces purges of the next `count` objects to the control nodes. Returns the number of the last object.
    pub fn publish_purges(&mut self, count: usize) -> usize {
        self.publish_purges_dated_by(count, now_unix_ms)
    }

    /// The same, with the purges dated by another clock, in Unix milliseconds.
    pub fn publish_purges_dated_by(&mut self, count: usize, clock: impl Fn() -> u64) -> usize {
        for _ in 0..count {
            self.purged_objects += 1;
            self.revision += 1;
            let flush = json!({"asset": object_id(self.purged_objects), "ms": clock()});
            self.control_discovery.publish(json!({"rev": self.revision, "flush": flush}));
        }
        self.purged_objects
    }

    /// Fills the next `count` objects at every host and purges them. Waits until every dispatcher serves newer copies
    /// of the first and the last of them, and returns the number of the last.
    pub fn purge_and_wait_for_effect(&mut self, count: usize) -> usize {
        self.fill_next_objects(0..MEMBER_COUNT, count);
        let last = self.publish_purges(count);
        for member in 0..MEMBER_COUNT {
            self.wait_for_purge_effect(member, last + 1 - count);
            self.wait_for_purge_effect(member, last);
        }
        last
    }

    /// Requests an object from a dispatcher. Returns the body, `copy N`, where N is how often the host has filled the
    /// object, or the whole answer if its status is not 200.
    pub fn request_object(&self, member: usize, number: usize) -> Result<String, String> {
        let request_id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        self.processes.members[member]
            .serve(&object_id(number), request_id)
            .map_err(|error| error.to_string())
    }

    /// Fills first copies of the next `count` objects at these dispatchers' hosts, so that the copies are older than
    /// the purges that follow.
    pub fn fill_next_objects(&self, members: impl IntoIterator<Item = usize>, count: usize) {
        for member in members {
            for number in self.purged_objects + 1..=self.purged_objects + count {
                self.wait_for_copy(member, number, 1);
            }
        }
    }

    /// Waits until a dispatcher serves the second copy of a purged object. Call it while the purge is in effect: later
    /// requests accept the first copy again.
    pub fn wait_for_purge_effect(&self, member: usize, number: usize) {
        self.wait_for_copy(member, number, 2);
    }

    /// Waits until a dispatcher serves this copy of an object. Errors before that are ignored, as on a busy machine a
    /// dispatcher may fail to reach its host at first.
    pub fn wait_for_copy(&self, member: usize, number: usize, copy: usize) {
        let (wanted, mut last) = (format!("copy {copy}"), Err(String::new()));
        let served = wait_until(WAIT_TIMEOUT, || {
            last = self.request_object(member, number);
            last.as_ref() == Ok(&wanted)
        });
        assert!(served, "object {number} at n{member}: {last:?}, not {wanted}; {}", self.logs());
    }

    /// Waits until each of these control nodes has logged that the last purge is replicated to all. A logged number of
    /// a stream covers all lower numbers of that stream.
    pub fn wait_until_replicated(&self, control: impl IntoIterator<Item = usize> + Clone) {
        let is_replicated = wait_until(WAIT_TIMEOUT, || {
            control
                .clone()
                .into_iter()
                .all(|control| self.replicated_entries(control, "Purges") >= self.purged_objects as u64)
        });
        assert!(is_replicated, "{} purges; {}", self.purged_objects, self.logs());
    }

    /// How many entries of a kind a control node has logged as replicated to all, over all streams.
    pub fn replicated_entries(&self, control: usize, kind: &str) -> u64 {
        highest_replicated(&self.processes.control[control].log(), kind).values().sum()
    }

    /// Asserts that each dispatcher has logged purges since the start, and none of its processes the same purge twice.
    /// This holds where each purge is published once. The first purge is left out: both control nodes may publish it,
    /// as they may not have heard from each other yet.
    pub fn assert_no_purge_repeated(&self) {
        for (member, initial_length) in self.processes.members.iter().zip(&self.initial_log_lengths) {
            let mut has_purges = false;
            for process_log in member.log()[*initial_length..].split("dissemination listens") {
                let mut seen = BTreeSet::new();
                let lines = process_log.lines().filter(|line| line.contains("purges in effect"));
                let objects = lines.filter_map(|line| log_field(line, "objects"));
                let objects =
                    objects.flat_map(|objects| objects.split(',')).filter(|object| !object.is_empty());
                objects.for_each(|object| {
                    assert!(seen.insert(object), "purge of {object} applied twice at {}", member.name)
                });
                has_purges |= !seen.is_empty();
            }
            assert!(has_purges, "{} has logged no purge", member.name);
        }
    }

    /// Drops all datagrams from one set of members to the other, until the rule is removed from the proxy.
    pub fn cut_paths(&self, from: MemberSet, to: MemberSet) -> RuleId {
        self.processes.proxy.add(Rule {
            from,
            to,
            path: PathConditions { cut: true, ..PathConditions::default() },
        })
    }

    /// The dispatcher at the root of its region's tree, through which most others of the region receive entries.
    pub fn root_member(&self) -> usize {
        let text =
            std::fs::read_to_string(self.processes.layout().folder.join("control-0.directory.csv")).unwrap();
        let directory = Directory::parse(&text).unwrap();
        let slot = |member: usize| directory.place(NodeId::of(&format!("n{member}")), &[]).unwrap().slot;
        (0..MEMBER_COUNT).find(|member| slot(*member) == 0).unwrap()
    }

    /// All dispatchers but one.
    pub fn members_except(&self, excluded: usize) -> Vec<usize> {
        (0..MEMBER_COUNT).filter(|member| *member != excluded).collect()
    }

    /// The indices of these dispatchers in the proxy.
    pub fn proxy_indices(&self, members: impl IntoIterator<Item = usize>) -> Vec<usize> {
        members.into_iter().map(|member| self.processes.proxy_index(member)).collect()
    }

    /// These dispatchers, as a set of the proxy's members.
    pub fn only_members(&self, members: impl IntoIterator<Item = usize>) -> MemberSet {
        MemberSet::only(self.processes.control.len() + MEMBER_COUNT, self.proxy_indices(members))
    }

    /// All control nodes, and all dispatchers but these.
    pub fn all_except(&self, members: impl IntoIterator<Item = usize>) -> MemberSet {
        MemberSet::all_except(self.processes.control.len() + MEMBER_COUNT, self.proxy_indices(members))
    }

    /// Waits until a dispatcher has logged this effective state of a host. Returns how often it has logged it.
    pub fn wait_for_state(&self, member: usize, host: &str, state: &str) -> usize {
        let count = || count_effective_lines(&self.processes.members[member].log(), host, state);
        assert!(wait_until(WAIT_TIMEOUT, || count() > 0), "n{member} {host} {state}: {}", self.logs());
        count()
    }

    /// Writes the overrides of all control nodes, each with its host and state, and has the control nodes read them.
    pub fn set_overrides(&self, overrides: &[(&str, &str)]) {
        (0..self.processes.control.len()).for_each(|control| self.set_overrides_at(control, overrides));
    }

    /// The same for one control node.
    pub fn set_overrides_at(&self, control: usize, overrides: &[(&str, &str)]) {
        self.processes.write_overrides_at(control, overrides).unwrap();
        self.processes.control[control].signal(Signal::SIGHUP).unwrap();
    }

    /// The last lines of every log, for the message of a failed assertion.
    pub fn logs(&self) -> String {
        let processes = self.processes.control.iter().chain(&self.processes.members);
        let tail = |text: &str| {
            let lines: Vec<_> = text.lines().collect();
            lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
        };
        processes.map(|member| format!("\n== {}\n{}", member.name, tail(&member.log()))).collect()
    }
}

/// The value of a field `name=value` of a log line.
pub fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// A stream as the log names it, within one kind: the control node that publishes it, and that node's incarnation.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoggedStream {
    pub control: String,
    pub incarnation: u64,
}

/// The highest number that a log reports as replicated to all, for each stream of a kind. Each process of a control
/// node has its own streams, which number their entries from 1.
pub fn highest_replicated(log: &str, kind: &str) -> BTreeMap<LoggedStream, u64> {
    let mut highest = BTreeMap::new();
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
        let stream_highest = highest.entry(stream).or_insert(number);
        *stream_highest = number.max(*stream_highest);
    }
    highest
}

/// How many lines of a log report this effective state of a host.
pub fn count_effective_lines(log: &str, host: &str, state: &str) -> usize {
    let is_match = |line: &&str| {
        line.contains("effective")
            && log_field(line, "endpoint") == Some(&format!("{host:?}"))
            && log_field(line, "state") == Some(state)
    };
    log.lines().filter(is_match).count()
}
