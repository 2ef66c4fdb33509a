//! Invariants of a simulated fleet and convergence times, from a global view. The checker uses only what was published and
//! what dispatchers received, never the tables of the nodes.

use rockflow_dissemination::{DesiredState, Entry, Purge, SequenceNumber, StreamId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

/// Faults that are kept with their words; the others are counted only.
const MAX_DESCRIBED_VIOLATIONS: usize = 40;

/// From hearing of a stream to having what binds of it: an ask, lost once, and its answer.
const TO_ASK: Duration = Duration::from_millis(1500);

/// One bit an entry.
#[derive(Clone, Debug, Default)]
struct Bits(Vec<u64>);

impl Bits {
    fn has(&self, at: usize) -> bool {
        self.0.get(at / 64).is_some_and(|word| word >> (at % 64) & 1 == 1)
    }

    /// Whether it was not there before.
    fn add(&mut self, at: usize) -> bool {
        if self.0.len() <= at / 64 {
            self.0.resize(at / 64 + 1, 0);
        }
        let (word, bit) = (&mut self.0[at / 64], 1 << (at % 64));
        let new = *word & bit == 0;
        *word |= bit;
        new
    }
}

/// Content of a published entry.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A purge.
    Purge(Purge),
    Setting {
        host: String,
        wanted: DesiredState,
    },
}

/// What was published, once by its content.
#[derive(Clone, Debug)]
pub struct Published {
    /// Content of the entry.
    pub what: What,
    /// When the board or the operator said it.
    pub at: Duration,
    /// Which side of a cut said it; none: both.
    pub side: Option<u8>,
    /// Phase of the simulation in which it was published.
    pub moment: usize,
    /// Under how many numbers it went out. Several: two control nodes both thought it theirs.
    pub numbers: usize,
    /// Members told now in whose force it was at some time.
    ever: usize,
    /// The longest that a member waited for it, from when it could have heard.
    pub worst: Duration,
    /// When control first said that it is in force everywhere.
    pub known: Option<Duration>,
    /// Before then it was with its publisher alone, which was stopped.
    pub held_until: Duration,
    /// Its publisher ended before anybody had it: it is not owed to anybody, until somebody has it all the same.
    pub lost: bool,
    /// By a clock that is wrong the board's word of it was taken for older than it is by so much, at most.
    pub overstated_age: Duration,
    /// A life that published it ended before it was known to be everywhere: its stream goes, and nobody may know.
    pub unknowable: bool,
}

/// A life of a member as the checker saw it.
#[derive(Clone, Debug, Default)]
struct MemberIncarnation {
    alive: bool,
    stopped: bool,
    begun: Duration,
    have: Bits,
    /// By their own names and numbers, also where a floor or a later setting covered them before.
    given: Bits,
    /// How often, where it was more than once.
    again: HashMap<usize, usize>,
    /// All published until then is covered.
    floor: Option<Duration>,
    /// All entries before this one are in force here.
    low: usize,
    /// Disturbed from the first until the second: dead, stopped or cut off.
    clear_from: Duration,
    /// When it first heard of a stream.
    contact: Option<Duration>,
    table: BTreeMap<String, DesiredState>,
    /// Settings that were there when it began, and whether it has gone by all of them.
    owed: usize,
    whole: bool,
}

/// What is broken, in the order of its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// Given to a life of a member more often than it was published.
    Twice,
    /// Not in force at a member, nor covered by a floor, though it had the time for it.
    PassedOver,
    /// In force later than the window, at a member that nothing held up.
    Late,
    /// A purge that leaves older copies than it may.
    Laxer,
    /// Control said it was in force everywhere, and it was not.
    EverywhereTooEarly,
    /// Nothing in the way any more, and control does not know it.
    EverywhereNotSaid,
    /// A setting that no one published, or another than the last of a host.
    WrongSetting,
    /// Given to a dispatcher, and never published.
    Unknown,
    /// A table or queue past its cap.
    PastCap,
    /// A floor where nothing went wrong, and nobody published a purge of everything.
    NeedlessFloor,
    /// Told and not there at the end, or not for long enough: nothing was judged at it.
    NotJudged,
}

/// Independent record of what was published and applied, checked against the fleet's invariants.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// A purge is applied by all reachable members within this time.
    pub window: Duration,
    /// A change of the configuration is in force within this at members that nothing held up. Who comes back, or begins
    /// later, takes it with all the others, within the window.
    pub change_window: Duration,
    /// Something went wrong in this course, beyond what frames are lost on an ordinary day: floors may come of it.
    pub disturbed_at_all: bool,
    members: usize,
    incarnations: Vec<MemberIncarnation>,
    /// What a member had in any life.
    ever: Vec<Bits>,
    /// Members by the directory.
    listed: Vec<bool>,
    /// Published entries in the order of publication.
    pub entries: Vec<Published>,
    purges: HashMap<Purge, usize>,
    /// Published purges of everything.
    everything: Vec<usize>,
    by_number: HashMap<(StreamId, SequenceNumber), usize>,
    settings: Vec<usize>,
    settings_of: HashMap<String, Vec<usize>>,
    /// Settings that members keep apart.
    pub refusals: BTreeSet<(usize, usize)>,
    /// From the start of a life to its going by all the settings.
    pub caught_up: Vec<Duration>,
    /// Who is told by the directory that a control node goes by, where that is not the last.
    reads: HashMap<usize, Vec<bool>>,
    /// Said to be everywhere, by control nodes that have read the last directory, and by others.
    said: HashMap<(StreamId, bool), SequenceNumber>,
    /// The last of each host, as published; settled by the world where two conflict.
    expected: BTreeMap<String, (Duration, DesiredState)>,
    /// Which side of a cut a member is on, and when the two met again.
    sides: Vec<Option<u8>>,
    met: Duration,
    /// Number of violations by kind.
    pub broken: BTreeMap<Violation, usize>,
    /// Descriptions of the first violations.
    pub words: Vec<String>,
    /// Floors given in all.
    pub floors: usize,
    /// Entries that a floor covered at a member.
    pub covered: usize,
    /// Not in force at a member that came back when they bound nobody any more.
    pub expired: usize,
    /// The most by which a purge was stricter than published.
    pub stricter: Duration,
}

impl fmt::Display for Checker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.broken)?;
        self.words.iter().try_for_each(|words| write!(f, "\n  {words}"))
    }
}

impl Checker {
    /// Creates a checker of this number of members, all listed in the directory.
    pub fn new(members: usize, window: Duration, change_window: Duration) -> Checker {
        Checker {
            window,
            change_window,
            members,
            incarnations: vec![MemberIncarnation::default(); members],
            ever: vec![Bits::default(); members],
            listed: vec![true; members],
            sides: vec![None; members],
            ..Checker::default()
        }
    }

    /// Total number of violations.
    pub fn violations(&self) -> usize {
        self.broken.values().sum()
    }

    /// Counts a violation and describes it while few are described.
    pub fn record_violation(&mut self, what: Violation, words: impl FnOnce() -> String) {
        let count = self.broken.entry(what).or_default();
        *count += 1;
        if *count <= 5 && self.words.len() < MAX_DESCRIBED_VIOLATIONS {
            self.words.push(format!("{what:?}: {}", words()));
        }
    }

    /// Whether the directory names it.
    pub fn set_listed(&mut self, member: usize, listed: bool) {
        if std::mem::replace(&mut self.listed[member], listed) == listed {
            return;
        }
        let ever = &self.ever[member];
        for entry in
            self.entries.iter_mut().enumerate().filter(|(at, _)| ever.has(*at)).map(|(_, entry)| entry)
        {
            entry.ever = if listed { entry.ever + 1 } else { entry.ever - 1 };
        }
    }

    /// A control node goes by a directory that names these.
    pub fn on_directory_read(&mut self, control: usize, listed: Vec<bool>) {
        self.reads.insert(control, listed);
        self.reads.retain(|_, read| *read != self.listed);
    }

    /// Whether the current directory lists the member.
    pub fn is_listed(&self, member: usize) -> bool {
        self.listed[member]
    }

    /// A member keeps a setting apart: it is not in force there, and control is told so.
    pub fn on_rejected_setting(&mut self, member: usize, id: (StreamId, SequenceNumber)) {
        if let Some(entry) = self.by_number.get(&id).copied() {
            self.found(entry);
            self.refusals.insert((member, entry));
            if self.incarnations[member].have.add(entry)
                && self.ever[member].add(entry)
                && self.listed[member]
            {
                self.entries[entry].ever += 1;
            }
        }
    }

    /// Records the start of a new incarnation of a member.
    pub fn on_start(&mut self, now: Duration, member: usize) {
        let owed = self.settings.len();
        // What cuts it off does so whichever of its lives that is.
        let clear_from = self.incarnations[member].clear_from.max(now);
        let incarnation = MemberIncarnation {
            alive: true,
            begun: now,
            clear_from,
            owed,
            whole: owed == 0,
            ..MemberIncarnation::default()
        };
        self.incarnations[member] = incarnation;
    }

    /// Somebody told it of streams.
    pub fn on_contact(&mut self, now: Duration, member: usize) {
        self.incarnations[member].contact.get_or_insert(now);
    }

    /// Records the end of a member's incarnation.
    pub fn on_exit(&mut self, member: usize) {
        self.incarnations[member].alive = false;
    }

    /// Records that a member is suspended or resumed.
    pub fn set_stopped(&mut self, member: usize, stopped: bool) {
        self.incarnations[member].stopped = stopped;
    }

    /// One takes the other's place, and all that goes wrong there.
    pub fn on_replacement(&mut self, member: usize, before: usize) {
        self.set_listed(before, false);
        self.set_listed(member, true);
        self.incarnations[member].clear_from = self.incarnations[before].clear_from;
        self.sides[member] = self.sides[before];
    }

    /// Something keeps it from hearing until then.
    pub fn record_disturbance(&mut self, member: usize, until: Duration) {
        let clear = &mut self.incarnations[member].clear_from;
        *clear = until.max(*clear);
    }

    /// Members on two sides that can't hear each other until then.
    pub fn on_partition(&mut self, sides: Vec<Option<u8>>, until: Duration) {
        (self.sides, self.met) = (sides, until);
    }

    /// Something is said by the board or an operator. Gives its index, under which a purge may name its object.
    pub fn record_publication(
        &mut self,
        now: Duration,
        what: What,
        side: Option<u8>,
        moment: usize,
    ) -> usize {
        let at = self.entries.len();
        match &what {
            What::Purge(purge) => {
                self.purges.insert(*purge, at);
                if *purge == Purge::Everything {
                    self.everything.push(at);
                }
            }
            What::Setting { host, wanted } => {
                self.expected.insert(host.clone(), (now, *wanted));
                self.settings.push(at);
                self.settings_of.entry(host.clone()).or_default().push(at);
            }
        }
        self.entries.push(Published {
            what,
            at: now,
            side,
            moment,
            numbers: 0,
            ever: 0,
            worst: Duration::ZERO,
            known: None,
            held_until: Duration::ZERO,
            lost: false,
            overstated_age: Duration::ZERO,
            unknowable: false,
        });
        at
    }

    /// Of two settings of a host that did not know of each other, this one is to hold.
    pub fn expect(&mut self, host: &str, wanted: DesiredState) {
        let at = self.expected.get(host).map_or(Duration::ZERO, |(at, _)| *at);
        self.expected.insert(host.to_string(), (at, wanted));
    }

    /// Whether the entry is a setting.
    pub fn is_setting(&self, entry: usize) -> bool {
        matches!(self.entries[entry].what, What::Setting { .. })
    }

    /// The life that published it ended.
    pub fn publisher_ended(&mut self, entry: usize) {
        let entry = &mut self.entries[entry];
        entry.unknowable |= entry.known.is_none();
    }

    /// Its publisher is stopped until then, and nobody has it yet.
    pub fn held_up(&mut self, entry: usize, until: Duration) {
        if self.entries[entry].ever == 0 {
            self.entries[entry].held_until = until;
        }
    }

    /// It was on its way when its publisher was parted from the other side.
    pub fn sided(&mut self, entry: usize, side: Option<u8>) {
        let listed = self.listed.iter().filter(|listed| **listed).count();
        if self.entries[entry].ever < listed {
            self.entries[entry].side = side;
        }
    }

    /// Its publisher ended at once: somebody may still have heard it, or nobody.
    pub fn doubt(&mut self, entry: usize) {
        if self.entries[entry].ever > 0 {
            return;
        }
        self.entries[entry].lost = true;
        self.expect_last(entry);
    }

    /// A member was given it: one that was in doubt is owed to all from now on.
    fn found(&mut self, entry: usize) {
        if std::mem::replace(&mut self.entries[entry].lost, false) {
            self.expect_last(entry);
        }
    }

    /// Of the host that a setting is about, the last that is not in doubt is to hold.
    fn expect_last(&mut self, entry: usize) {
        let What::Setting { host, .. } = &self.entries[entry].what else { return };
        let host = host.clone();
        let of = self.settings_of.get(&host).into_iter().flatten().rev();
        let last = of.map(|at| &self.entries[*at]).find(|held| !held.lost);
        match last.map(|held| (held.at, &held.what)) {
            Some((at, What::Setting { wanted, .. })) => self.expected.insert(host, (at, *wanted)),
            _ => self.expected.remove(&host),
        };
    }

    /// A control node takes the board's word of it for older than it is.
    pub fn overstated_age(&mut self, entry: usize, by: Duration) {
        let older = &mut self.entries[entry].overstated_age;
        *older = by.max(*older);
    }

    /// It went out under this number.
    pub fn numbered(&mut self, entry: usize, stream: StreamId, number: SequenceNumber) {
        if self.by_number.insert((stream, number), entry).is_none() {
            self.entries[entry].numbers += 1;
        }
    }

    /// A control node's life that goes on above an outlived one sends, under its own numbers, what that one had published.
    pub fn sent_anew(&mut self, stream: StreamId, number: SequenceNumber, entry: &Entry) {
        if self.by_number.contains_key(&(stream, number)) {
            return;
        }
        let same = match entry {
            Entry::Purge(purge) => self.entry_of(purge),
            Entry::Setting(setting) => self.last_setting(&setting.host, setting.desired),
        };
        match same {
            Some(same) => self.numbered(same, stream, number),
            None => self
                .record_violation(Violation::Unknown, || format!("{entry:?} sent as {stream:?} {number:?}")),
        }
    }

    /// The last that said so of a host.
    fn last_setting(&self, host: &str, wanted: DesiredState) -> Option<usize> {
        let of = self.settings_of.get(host)?.iter().rev().copied();
        let same = |at: &usize| matches!(&self.entries[*at].what, What::Setting { wanted: held, .. } if *held == wanted);
        of.into_iter().find(same)
    }

    /// Index of a published purge.
    pub fn entry_of(&self, purge: &Purge) -> Option<usize> {
        self.purges.get(purge).copied()
    }

    /// From when a member could hear of an entry.
    fn reachable_since(&self, member: usize, entry: &Published, now: Duration) -> Duration {
        let incarnation = &self.incarnations[member];
        // While something is in its way it may hear late, of that and of what was before.
        let mut from = entry.at.max(incarnation.clear_from.min(now)).max(entry.held_until.min(now));
        let other = entry.side.is_some() && self.sides[member].is_some() && entry.side != self.sides[member];
        if other && entry.at < self.met {
            // Until they meet it can't be heard; a floor may still cover it.
            from = from.max(self.met.min(now));
        }
        from
    }

    fn in_force(&mut self, now: Duration, member: usize, entry: usize) {
        let from = self.reachable_since(member, &self.entries[entry], now);
        if !self.incarnations[member].have.add(entry) {
            return;
        }
        let held = &mut self.entries[entry];
        if self.ever[member].add(entry) && self.listed[member] {
            held.ever += 1;
        }
        // A life that begins takes what came before it as one.
        let waited = now.saturating_sub(from);
        if held.at >= self.incarnations[member].begun {
            held.worst = held.worst.max(waited);
        }
        let (at, said) = (held.at, held.at.max(held.held_until.min(now)));
        let change = matches!(held.what, What::Setting { .. });
        let in_time = match change && from == said && at >= self.incarnations[member].begun {
            true => self.change_window,
            false => self.window,
        };
        if waited > in_time && !self.bound_nobody(member, entry, now) {
            self.record_violation(Violation::Late, || {
                format!("entry {entry} of {at:?} in force at member {member} at {now:?}, {waited:?} after {from:?}")
            });
        }
    }

    /// One entry was given to a life of a member, by its own name: how often by now.
    fn given(&mut self, member: usize, entry: usize) -> usize {
        let incarnation = &mut self.incarnations[member];
        if incarnation.given.add(entry) {
            return 1;
        }
        let times = incarnation.again.entry(entry).or_insert(1);
        *times += 1;
        *times
    }

    /// A dispatcher goes by purges that it was given at `given`.
    pub fn purged(&mut self, now: Duration, given: Duration, member: usize, purges: &[(Purge, Duration)]) {
        for (purge, age) in purges {
            let until = given.saturating_sub(*age);
            if *purge == Purge::Everything {
                self.calls_for_floor(now, member, until);
                self.floor(now, member, until);
                continue;
            }
            let Some(entry) = self.entry_of(purge) else {
                self.record_violation(Violation::Unknown, || format!("{purge:?} at member {member}"));
                continue;
            };
            let (at, numbers) = (self.entries[entry].at, self.entries[entry].numbers);
            if until + self.entries[entry].overstated_age < at {
                self.record_violation(Violation::Laxer, || {
                    format!("entry {entry} by {:?} at member {member}", at - until)
                });
            }
            self.stricter = self.stricter.max(until.saturating_sub(at));
            let times = self.given(member, entry);
            if times > numbers.max(1) {
                self.record_violation(Violation::Twice, || {
                    format!("entry {entry} of {at:?} {times} times at member {member}, numbers {numbers}, at {now:?}")
                });
            }
            self.in_force(now, member, entry);
        }
        self.lower(member);
    }

    /// A floor costs every cached object: where nothing went wrong only a published purge of everything is one.
    fn calls_for_floor(&mut self, now: Duration, member: usize, until: Duration) {
        let given = &mut self.incarnations[member].given;
        let published = self.everything.iter().any(|at| self.entries[*at].at <= until && given.add(*at));
        if !published && !self.disturbed_at_all {
            self.record_violation(Violation::NeedlessFloor, || {
                format!("of {until:?} at member {member}, at {now:?}")
            });
        }
    }

    fn floor(&mut self, now: Duration, member: usize, until: Duration) {
        self.floors += 1;
        let incarnation = &mut self.incarnations[member];
        if incarnation.floor.is_some_and(|held| held >= until) {
            return;
        }
        incarnation.floor = Some(until);
        let last = self.entries.partition_point(|entry| entry.at <= until);
        let mut at = incarnation.low;
        while at < last {
            if matches!(self.entries[at].what, What::Purge(_)) && !self.incarnations[member].have.has(at) {
                if self.entries[at].what != What::Purge(Purge::Everything) {
                    self.covered += 1;
                }
                self.in_force(now, member, at);
            }
            at += 1;
        }
        self.lower(member);
    }

    fn lower(&mut self, member: usize) {
        let incarnation = &mut self.incarnations[member];
        while incarnation.low < self.entries.len()
            && (incarnation.have.has(incarnation.low)
                || !matches!(self.entries[incarnation.low].what, What::Purge(_)))
        {
            incarnation.low += 1;
        }
    }

    /// A dispatcher goes by this table of settings, of which those entries are new.
    pub fn configured(
        &mut self,
        now: Duration,
        member: usize,
        settings: BTreeMap<String, DesiredState>,
        changed: &[((StreamId, SequenceNumber), String)],
    ) {
        let before = std::mem::replace(&mut self.incarnations[member].table, settings);
        for (id, host) in changed {
            let Some(entry) = self.by_number.get(id).copied() else {
                self.record_violation(Violation::Unknown, || {
                    format!("setting {id:?} of {host} at member {member}")
                });
                continue;
            };
            if !matches!(&self.entries[entry].what, What::Setting { host: other, .. } if other == host) {
                self.record_violation(Violation::WrongSetting, || {
                    format!("{id:?} for {host} at member {member}")
                });
            }
            self.found(entry);
            // One that was kept apart may be judged again, and taken.
            self.refusals.remove(&(member, entry));
            if self.given(member, entry) > self.entries[entry].numbers {
                self.record_violation(Violation::Twice, || {
                    format!("setting {id:?} of {host} at member {member}")
                });
            }
            self.in_force(now, member, entry);
        }
        // What a later version of the same host stands for, or a whole table brought.
        let mut hosts: BTreeSet<&String> = changed.iter().map(|(_, host)| host).collect();
        let held = &self.incarnations[member].table;
        hosts.extend(
            held.iter().filter(|(host, wanted)| before.get(*host) != Some(*wanted)).map(|(host, _)| host),
        );
        hosts.extend(before.keys().filter(|host| !held.contains_key(*host)));
        let of = hosts.into_iter().filter_map(|host| self.settings_of.get(host)).flatten().copied();
        let open = |at: &usize| {
            let lost = self.entries[*at].lost;
            !lost && !self.incarnations[member].have.has(*at) && self.covered_setting(member, *at)
        };
        let open: Vec<_> = of.filter(open).collect();
        open.into_iter().for_each(|at| self.in_force(now, member, at));
        let incarnation = &self.incarnations[member];
        if !incarnation.whole
            && self.settings[..incarnation.owed]
                .iter()
                .all(|at| self.entries[*at].lost || self.has(member, *at))
        {
            let took = now - self.incarnations[member].begun;
            self.caught_up.push(took);
            self.incarnations[member].whole = true;
        }
    }

    /// Whether a member goes by the last version of the host that a setting is about.
    fn covered_setting(&self, member: usize, entry: usize) -> bool {
        let What::Setting { host, .. } = &self.entries[entry].what else { return false };
        let held = self.incarnations[member].table.get(host).copied().unwrap_or(DesiredState::Listed);
        self.expected.get(host).is_some_and(|(_, wanted)| *wanted == held)
    }

    fn has(&self, member: usize, entry: usize) -> bool {
        let incarnation = &self.incarnations[member];
        incarnation.have.has(entry)
            || match &self.entries[entry].what {
                What::Purge(_) => incarnation.floor.is_some_and(|floor| floor >= self.entries[entry].at),
                What::Setting { .. } => self.covered_setting(member, entry),
            }
    }

    /// Whether a member that does not have it owes nothing: it came back, or began, when the entry bound nobody any more.
    fn bound_nobody(&self, member: usize, entry: usize, now: Duration) -> bool {
        let held = &self.entries[entry];
        if matches!(held.what, What::Setting { .. }) {
            return false;
        }
        let (incarnation, from) = (&self.incarnations[member], self.reachable_since(member, held, now));
        if held.at < incarnation.begun {
            // A life that begins owes what bound somebody when it first heard of a stream, less the time to ask for it.
            return incarnation
                .contact
                .is_none_or(|first_contact| first_contact.max(from) + TO_ASK >= held.at + self.window);
        }
        from + TO_ASK >= held.at + self.window
    }

    /// Control says that a stream is in force everywhere up to a number.
    pub fn everywhere(&mut self, now: Duration, stream: StreamId, number: SequenceNumber, control: usize) {
        // A control node can know only of those that its own directory names.
        let read = self.reads.get(&control).cloned();
        let said = (stream, read.is_some());
        let from = self.said.get(&said).copied().unwrap_or_default();
        for number in from.0 + 1..=number.0 {
            let Some(entry) = self.by_number.get(&(stream, SequenceNumber(number))).copied() else {
                self.record_violation(Violation::Unknown, || {
                    format!("{stream:?} {number} everywhere, by control {control}")
                });
                continue;
            };
            let held = &self.entries[entry];
            if held.known.is_none() {
                self.entries[entry].known = Some(now);
            }
            let listed = self.listed.iter().filter(|listed| **listed).count();
            if read.is_none() && self.entries[entry].ever >= listed {
                continue;
            }
            for member in 0..self.members {
                // A life that began later takes the stream up where something still binds.
                let at = self.entries[entry].at;
                let before = at < self.incarnations[member].begun && at + self.window <= now;
                let purge = matches!(self.entries[entry].what, What::Purge(_));
                let excused = !read.as_ref().unwrap_or(&self.listed)[member]
                    || self.ever[member].has(entry)
                    || (purge && before)
                    || (self.incarnations[member].alive
                        && (self.has(member, entry) || self.bound_nobody(member, entry, now)));
                if !excused {
                    let alive = self.incarnations[member].alive;
                    self.record_violation(Violation::EverywhereTooEarly, || {
                        format!("control {control} of {stream:?} {number} at {now:?}: member {member} (alive: {alive}) has it not")
                    });
                }
            }
        }
        let said = self.said.entry(said).or_default();
        *said = number.max(*said);
    }

    /// After a quiet end: all that are told live, all that was published is in force at them, and control knows it.
    pub fn ends_quiet(&mut self, now: Duration, everywhere: bool) {
        let settled = now.saturating_sub(self.window);
        for member in 0..self.members {
            if !self.listed[member] {
                continue;
            }
            let MemberIncarnation { alive, stopped, clear_from, .. } = self.incarnations[member];
            if !alive || stopped || clear_from + self.window > now {
                self.record_violation(Violation::NotJudged, || {
                    format!("member {member}, alive: {alive}, stopped: {stopped}, clear from {clear_from:?}")
                });
                continue;
            }
            self.lower(member);
            let purges = (self.incarnations[member].low..self.entries.len())
                .filter(|at| matches!(self.entries[*at].what, What::Purge(_)));
            let due: Vec<_> = purges.chain(self.settings.iter().copied()).collect();
            for entry in due {
                let (at, lost) = (self.entries[entry].at, self.entries[entry].lost);
                if at > settled || lost || self.has(member, entry) {
                    continue;
                }
                if self.bound_nobody(member, entry, now) {
                    self.expired += 1;
                    continue;
                }
                let (what, from) = (
                    self.entries[entry].what.clone(),
                    self.reachable_since(member, &self.entries[entry], now),
                );
                self.record_violation(Violation::PassedOver, || {
                    format!("entry {entry} {what:?} of {at:?} at member {member}, which could hear it from {from:?}")
                });
            }
            let table: Vec<_> = self.incarnations[member].table.clone().into_iter().collect();
            for (host, held) in table {
                if self.expected.get(&host).is_none_or(|(at, wanted)| *wanted != held && *at <= settled) {
                    self.record_violation(Violation::WrongSetting, || {
                        format!("{host} {held:?} at member {member}")
                    });
                }
            }
        }
        if everywhere {
            let open: Vec<_> = (0..self.entries.len())
                .filter(|at| {
                    let entry = &self.entries[*at];
                    entry.known.is_none()
                        && !entry.lost
                        && !entry.unknowable
                        && entry.at <= settled
                        && entry.numbers > 0
                })
                .collect();
            for entry in open {
                let at = self.entries[entry].at;
                self.record_violation(Violation::EverywhereNotSaid, || format!("entry {entry} of {at:?}"));
            }
        }
    }

    /// Whether a member goes by what was published last of a host.
    pub fn wanted(&self, member: usize, host: &str) -> DesiredState {
        self.incarnations[member].table.get(host).copied().unwrap_or(DesiredState::Listed)
    }

    /// Members that have an entry in force now.
    pub fn holders(&self, entry: usize) -> usize {
        (0..self.members)
            .filter(|member| self.incarnations[*member].alive && self.has(*member, entry))
            .count()
    }

    /// How long each entry of a kind and moment took to all, sorted.
    pub fn times(&self, moment: Option<usize>, purges: bool) -> Vec<Duration> {
        let mine = |entry: &&Published| {
            moment.is_none_or(|moment| entry.moment == moment)
                && matches!(entry.what, What::Purge(_)) == purges
                && entry.ever > 0
        };
        let mut times: Vec<_> = self.entries.iter().filter(mine).map(|entry| entry.worst).collect();
        times.sort();
        times
    }

    /// From being said to control's knowing it in force everywhere, sorted; and how many it never knew of.
    pub fn known(&self, moment: Option<usize>, purges: bool) -> (Vec<Duration>, usize) {
        let mine = |entry: &&Published| {
            moment.is_none_or(|moment| entry.moment == moment)
                && matches!(entry.what, What::Purge(_)) == purges
        };
        let mut unknown = 0;
        let mut times = Vec::new();
        for entry in self.entries.iter().filter(mine) {
            match entry.known {
                Some(at) => times.push(at.saturating_sub(entry.at)),
                None => unknown += 1,
            }
        }
        times.sort();
        (times, unknown)
    }
}
