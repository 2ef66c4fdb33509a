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

pub const PATIENCE: Duration = Duration::from_secs(30);
/// Of the example: so long a purge binds, and so long its stream's entries are kept at the least.
pub const WINDOW: Duration = Duration::from_secs(6);
pub const PULSE: Duration = Duration::from_millis(50);
/// Members of the first and of the second site.
const SITES: [usize; 2] = [4, 3];
pub const MEMBERS: usize = SITES[0] + SITES[1];
/// So long nobody keeps a child, counts a report, or holds entries: past every wait there is.
pub const LONG: Duration = Duration::from_secs(9);

/// One fleet at a time, so that none waits for another's share of the machine.
static ALONE: Mutex<()> = Mutex::new(());
static CALLS: AtomicU64 = AtomicU64::new(1);

/// What a rig is laid out by.
pub struct Lay {
    pub control: usize,
    pub pulse: Duration,
    pub purge_window: Duration,
    /// Each site is a region of its own.
    pub two_regions: bool,
    /// Whether other fleets may run at the same time: for those that mostly wait.
    pub beside_others: bool,
    /// Dispatchers that know one cache alone, c1. The others know c2 beside it, and those of two regions c3 as well.
    pub one_cache: &'static [usize],
}

impl Default for Lay {
    fn default() -> Lay {
        Lay {
            control: 2,
            pulse: PULSE,
            purge_window: WINDOW,
            two_regions: false,
            beside_others: false,
            one_cache: &[],
        }
    }
}

pub struct Rig {
    pub fleet: Fleet,
    pub board: DiscoveryServer,
    _quiet: DiscoveryServer,
    /// By dispatcher: its first host, which answers.
    pub hosts: Vec<Host>,
    pub rev: u64,
    /// Objects purged so far.
    pub purged: usize,
    /// How much each dispatcher had logged when all had settled.
    settled: Vec<usize>,
    _folder: TemporaryFolder,
    _alone: Option<MutexGuard<'static, ()>>,
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn instance(name: &str, at: &str, kind: &str) -> Value {
    let zone = if kind == "box" { "shop" } else { "hub" };
    json!({"instanceId": name, "hostPort": at, "zone": zone, "machineType": kind, "cell": 0, "lifecycle": "active",
        "weight": 8, "startedAtMs": 0})
}

fn places(two_regions: bool) -> Vec<Place> {
    let place = |at: usize| Place {
        name: format!("n{at}"),
        region: if two_regions && at >= SITES[0] { "there" } else { "here" }.to_string(),
        site: format!("site-{}", usize::from(at >= SITES[0])),
        zone: "zone".to_string(),
    };
    (0..MEMBERS).map(place).collect()
}

pub fn site(number: usize) -> Range<usize> {
    if number == 0 {
        0..SITES[0]
    } else {
        SITES[0]..MEMBERS
    }
}

pub fn object(number: usize) -> String {
    format!("{number:04x}")
}

impl Rig {
    /// All run and serve, and what is published is in force everywhere.
    pub fn start() -> Rig {
        Rig::with(Lay::default())
    }

    pub fn with(lay: Lay) -> Rig {
        let mut rig = Rig::lay(lay);
        rig.start_all();
        rig
    }

    pub fn start_all(&mut self) {
        (0..self.fleet.control.len()).for_each(|place| self.fleet.start_control(place).unwrap());
        self.start_members();
        self.purge(1);
        self.everywhere(0..self.fleet.control.len());
        self.settled = self.fleet.members.iter().map(|member| member.log().len()).collect();
    }

    /// Till all of them serve.
    pub fn start_members(&mut self) {
        (0..MEMBERS).for_each(|place| self.fleet.start_member(place).unwrap());
        let ready = wait_until(PATIENCE, || self.fleet.members.iter().all(|member| member.is_ready()));
        assert!(ready, "{}", self.logs());
    }

    /// All but the processes.
    pub fn lay(lay: Lay) -> Rig {
        let Lay { control, pulse, purge_window, two_regions, beside_others, one_cache } = lay;
        let alone = (!beside_others).then(|| ALONE.lock().unwrap_or_else(PoisonError::into_inner));
        let folder = TemporaryFolder::new("faults");
        let hosts: Vec<_> = (0..MEMBERS).map(|at| Host::start(&format!("c1-{at}"), Duration::ZERO)).collect();
        hosts.iter().for_each(Host::enable_cache);
        let known = |(at, host): (usize, &Host)| {
            let own = host.address.to_string();
            let mut known = vec![
                instance("c1", &own, "box"),
                instance("p1", &own, "parent"),
                instance("o1", &own, "origin"),
            ];
            if !one_cache.contains(&at) {
                // At the same address: it answers the same.
                known.push(instance("c2", &own, "box"));
            }
            if two_regions {
                known.push(instance("c3", &own, "box"));
            }
            json!(known)
        };
        let known = hosts.iter().enumerate().map(known).collect();
        let (board, quiet) = (DiscoveryServer::start(), DiscoveryServer::start());
        let layout = Layout {
            program: env!("CARGO_BIN_EXE_rockflow").into(),
            folder: folder.path().to_path_buf(),
            control,
            members: places(two_regions),
            control_discovery: board.address,
            discovery: quiet.address,
            hosts: known,
            heartbeat_interval: pulse,
            purge_window,
            bytes_per_second: 65_536,
            seed: 34,
            // What is in effect is a line of the log.
            log_level: "debug",
        };
        let fleet = Fleet::prepare(layout).unwrap();
        Rig {
            fleet,
            board,
            _quiet: quiet,
            hosts,
            rev: 1,
            purged: 0,
            settled: vec![0; MEMBERS],
            _folder: folder,
            _alone: alone,
        }
    }

    /// The board tells of so many purges, of objects that were not purged before. Says how many there were by then.
    pub fn purge(&mut self, count: usize) -> usize {
        self.purge_made_at(count, now_ms)
    }

    /// The same by another clock than ours.
    pub fn purge_made_at(&mut self, count: usize, clock: impl Fn() -> u64) -> usize {
        for _ in 0..count {
            self.purged += 1;
            self.rev += 1;
            let flush = json!({"asset": object(self.purged), "ms": clock()});
            self.board.publish(json!({"rev": self.rev, "flush": flush}));
        }
        self.purged
    }

    /// Purges as many objects as that, of which every host has an older copy; till every client is served younger ones of
    /// the first and of the last.
    pub fn purge_heeded_by_all(&mut self, count: usize) -> usize {
        self.fill(0..MEMBERS, count);
        let last = self.purge(count);
        for member in 0..MEMBERS {
            self.in_effect(member, last + 1 - count);
            self.in_effect(member, last);
        }
        last
    }

    /// What a dispatcher's client is served of an object.
    pub fn served(&self, member: usize, number: usize) -> Result<String, String> {
        let call = CALLS.fetch_add(1, Ordering::Relaxed);
        self.fleet.members[member].serve(&object(number), call).map_err(|error| error.to_string())
    }

    /// Fills copies of the next so many objects at these dispatchers' hosts, so that they are older than a purge.
    pub fn fill(&self, members: impl IntoIterator<Item = usize>, count: usize) {
        for member in members {
            for number in self.purged + 1..=self.purged + count {
                self.copy(member, number, 1);
            }
        }
    }

    /// Till a dispatcher's client is served a copy that is younger than the purge. Asked within the time that it binds.
    pub fn in_effect(&self, member: usize, number: usize) {
        self.copy(member, number, 2);
    }

    /// Till a dispatcher's client is served this copy of an object. A host that can't be reached at once on a machine
    /// that is busy may be answered for with an error before.
    pub fn copy(&self, member: usize, number: usize, copy: usize) {
        let (wanted, mut last) = (format!("copy {copy}"), Err(String::new()));
        let served = wait_until(PATIENCE, || {
            last = self.served(member, number);
            last.as_ref() == Ok(&wanted)
        });
        assert!(served, "object {number} at n{member}: {last:?}, not {wanted}; {}", self.logs());
    }

    /// Till these control nodes have said that the newest purge is in force everywhere: each line counts once for the
    /// stream it names, and numbers of a stream that is said stand for those before.
    pub fn everywhere(&self, control: impl IntoIterator<Item = usize> + Clone) {
        let said = wait_until(PATIENCE, || {
            control.clone().into_iter().all(|place| self.said(place, "Purges") >= self.purged as u64)
        });
        assert!(said, "{} purges; {}", self.purged, self.logs());
    }

    /// How many of a kind a control node has said to be in force everywhere, in all streams.
    pub fn said(&self, control: usize, kind: &str) -> u64 {
        tops(&self.fleet.control[control].log(), kind).values().sum()
    }

    /// Of each life of each dispatcher by its own word: no purge was in effect a second time. So it is where every
    /// purge was published once; the one by which all settle may be published by two control nodes that have not heard
    /// each other yet.
    pub fn each_once(&self) {
        for (member, settled) in self.fleet.members.iter().zip(&self.settled) {
            let mut any = false;
            for life in member.log()[*settled..].split("dissemination listens") {
                let mut seen = BTreeSet::new();
                let lines = life.lines().filter(|line| line.contains("purges in effect"));
                let objects = lines.filter_map(|line| field(line, "objects"));
                let objects =
                    objects.flat_map(|objects| objects.split(',')).filter(|object| !object.is_empty());
                objects.for_each(|object| assert!(seen.insert(object), "{object} twice at {}", member.name));
                any |= !seen.is_empty();
            }
            assert!(any, "{} has nothing in effect", member.name);
        }
    }

    /// Nothing goes from these places in the proxy to those.
    pub fn cut(&self, from: MemberSet, to: MemberSet) -> RuleId {
        self.fleet.proxy.add(Rule {
            from,
            to,
            path: PathConditions { cut: true, ..PathConditions::default() },
        })
    }

    /// The head of all: whom most stand behind.
    pub fn head(&self) -> usize {
        let text =
            std::fs::read_to_string(self.fleet.layout().folder.join("control-0.directory.csv")).unwrap();
        let directory = Directory::parse(&text).unwrap();
        let slot = |at: usize| directory.place(NodeId::of(&format!("n{at}")), &[]).unwrap().slot;
        (0..MEMBERS).find(|at| slot(*at) == 0).unwrap()
    }

    pub fn others(&self, than: usize) -> Vec<usize> {
        (0..MEMBERS).filter(|at| *at != than).collect()
    }

    pub fn in_proxy(&self, members: impl IntoIterator<Item = usize>) -> Vec<usize> {
        members.into_iter().map(|member| self.fleet.proxy_index(member)).collect()
    }

    pub fn who(&self, members: impl IntoIterator<Item = usize>) -> MemberSet {
        MemberSet::only(self.fleet.control.len() + MEMBERS, self.in_proxy(members))
    }

    /// All but these, control nodes too.
    pub fn rest(&self, members: impl IntoIterator<Item = usize>) -> MemberSet {
        MemberSet::all_except(self.fleet.control.len() + MEMBERS, self.in_proxy(members))
    }

    /// Till a dispatcher's log has said that a host is in this state; how often it says so.
    pub fn state(&self, member: usize, host: &str, state: &str) -> usize {
        let says = || effective(&self.fleet.members[member].log(), host, state);
        assert!(wait_until(PATIENCE, || says() > 0), "n{member} {host} {state}: {}", self.logs());
        says()
    }

    /// Marks for all control nodes, which read them.
    pub fn mark(&self, marks: &[(&str, &str)]) {
        (0..self.fleet.control.len()).for_each(|place| self.mark_at(place, marks));
    }

    pub fn mark_at(&self, control: usize, marks: &[(&str, &str)]) {
        self.fleet.write_overrides_at(control, marks).unwrap();
        self.fleet.control[control].signal(Signal::SIGHUP).unwrap();
    }

    /// The ends of all logs, for whoever reads why a test failed.
    pub fn logs(&self) -> String {
        let all = self.fleet.control.iter().chain(&self.fleet.members);
        let tail = |text: &str| {
            let lines: Vec<_> = text.lines().collect();
            lines[lines.len().saturating_sub(12)..].join("\n")
        };
        all.map(|member| format!("\n== {}\n{}", member.name, tail(&member.log()))).collect()
    }
}

/// A field of a log line.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
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
pub fn tops(log: &str, kind: &str) -> BTreeMap<LoggedStream, u64> {
    let mut tops = BTreeMap::new();
    let lines = log.lines().filter(|line| line.contains("everywhere") && field(line, "kind") == Some(kind));
    for line in lines {
        let number = |name| field(line, name).and_then(|value| value.parse::<u64>().ok());
        let (Some(control), Some(incarnation), Some(number)) =
            (field(line, "control"), number("incarnation"), number("number"))
        else {
            continue;
        };
        let stream = LoggedStream { control: control.to_string(), incarnation };
        let top = tops.entry(stream).or_insert(number);
        *top = number.max(*top);
    }
    tops
}

pub fn effective(log: &str, host: &str, state: &str) -> usize {
    let says = |line: &&str| {
        line.contains("effective")
            && field(line, "endpoint") == Some(&format!("{host:?}"))
            && field(line, "state") == Some(state)
    };
    log.lines().filter(says).count()
}
