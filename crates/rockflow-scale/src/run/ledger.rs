//! Published entries, when each dispatcher applied them, and the faults that affected it meanwhile.

use rockflow_dissemination::Purge;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// What may be wrong with a member, or its paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It stands still.
    Stopped,
    /// It does not hear any other site and no control node, or is not heard by them.
    CutOff,
    /// Its datagrams, one way or the other, are lost and doubled.
    Lossy,
    /// Those to it are late.
    Late,
}

/// All causes in the order of their columns.
pub const CAUSES: [Cause; 4] = [Cause::Stopped, Cause::CutOff, Cause::Lossy, Cause::Late];

impl Cause {
    /// Whether it keeps a member from hearing at all. What is lossy or late holds nobody up: its members have the same
    /// time as all.
    pub fn holds_up(self) -> bool {
        matches!(self, Cause::Stopped | Cause::CutOff)
    }
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    cause: Cause,
    from: Instant,
    /// None: it lasts.
    till: Option<Instant>,
}

/// A life of a dispatcher.
#[derive(Clone, Debug)]
struct MemberIncarnation {
    born: Instant,
    over: bool,
    /// One bit a purge: it came; it came, or a floor covers it.
    has: Bits,
    in_force: Bits,
    /// All before this one are in force, or were told before this life.
    low: usize,
    /// All that was made by then is covered by a floor.
    floor: Option<Instant>,
    floors: u64,
    /// Purges put in effect a second time by this life.
    again: u64,
    /// Changes in effect.
    changed: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default)]
struct Bits(Vec<u64>);

impl Bits {
    fn has(&self, number: usize) -> bool {
        self.0.get(number / 64).is_some_and(|word| word & (1 << (number % 64)) != 0)
    }

    /// Whether it is new.
    fn add(&mut self, number: usize) -> bool {
        if self.0.len() <= number / 64 {
            self.0.resize(number / 64 + 1, 0);
        }
        let (word, bit) = (&mut self.0[number / 64], 1 << (number % 64));
        let new = *word & bit == 0;
        *word |= bit;
        new
    }
}

/// The longest of so many waits, and whose it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waited {
    /// Number of waits.
    pub count: usize,
    /// Longest wait.
    pub worst: Duration,
    /// Member with the longest wait.
    pub member: usize,
}

impl Waited {
    fn record(&mut self, member: usize, wait: Duration) {
        self.count += 1;
        if wait >= self.worst {
            (self.worst, self.member) = (wait, member);
        }
    }
}

/// One purge or change: when it was told, and how long the lives that were there by then waited till it was in force, as
/// an entry or by a floor.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    /// When it was published.
    pub at: Instant,
    /// At hollow ones by the entry itself.
    pub count: usize,
    /// Longest wait of a hollow dispatcher.
    pub worst: Duration,
    /// At those that nothing held up meanwhile: real ones, and hollow ones.
    pub real: Waited,
    /// Waits of unaffected hollow dispatchers.
    pub hollow: Waited,
    /// In the order of `CAUSES`, at those that it concerned meanwhile: of what holds up, from its end; of what does not,
    /// where nothing else held them up.
    pub by_cause: [Waited; CAUSES.len()],
}

impl Announcement {
    fn new(at: Instant) -> Announcement {
        Announcement {
            at,
            count: 0,
            worst: Duration::ZERO,
            real: Waited::default(),
            hollow: Waited::default(),
            by_cause: [Waited::default(); CAUSES.len()],
        }
    }

    /// The longest wait of one that nothing held up.
    pub fn free(&self) -> Option<Waited> {
        let waits = [self.real, self.hollow].into_iter().filter(|waited| waited.count > 0);
        waits.max_by_key(|waited| waited.worst)
    }

    fn in_force(&mut self, member: usize, real: bool, at: Instant, disturbances: &[Disturbance]) {
        let met = |disturbance: &&Disturbance| {
            disturbance.from < at && disturbance.till.is_none_or(|till| till > self.at)
        };
        let met: Vec<_> = disturbances.iter().filter(met).collect();
        let held_up = met.iter().any(|disturbance| disturbance.cause.holds_up());
        for (cause, waited) in CAUSES.into_iter().zip(&mut self.by_cause) {
            let of = met.iter().filter(|disturbance| disturbance.cause == cause);
            let Some(last) = of.map(|disturbance| disturbance.till.map_or(at, |till| till.min(at))).max()
            else {
                continue;
            };
            if held_up && !cause.holds_up() {
                continue;
            }
            let from = if cause.holds_up() { last } else { self.at };
            waited.record(member, at.saturating_duration_since(from));
        }
        if !held_up {
            let waited = if real { &mut self.real } else { &mut self.hollow };
            waited.record(member, at.saturating_duration_since(self.at));
        }
    }
}

/// What was found of one dispatcher's present life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Judged {
    /// Told within its life, and neither in effect nor covered by a floor.
    pub passed_over: u64,
    /// Covered by a minimum accepted timestamp.
    pub by_floor: u64,
    /// Applied more than once.
    pub again: u64,
}

/// Record of published entries and of when each dispatcher applied them.
#[derive(Debug, Default)]
pub struct Ledger {
    numbers: HashMap<[u8; 8], usize>,
    /// Published purges.
    pub purges: Vec<Announcement>,
    /// Published changes.
    pub changes: Vec<Announcement>,
    hosts: HashMap<String, usize>,
    incarnations: BTreeMap<usize, MemberIncarnation>,
    /// Those that are processes; the others are hollow.
    real: BTreeSet<usize>,
    /// Of each member whatever life of it that is.
    disturbances: BTreeMap<usize, Vec<Disturbance>>,
    /// Floors and repeats of lives that are over.
    pub floors_before: u64,
    pub again_before: u64,
}

impl Ledger {
    /// Whose members in `real` are processes.
    pub fn new(real: impl IntoIterator<Item = usize>) -> Ledger {
        Ledger { real: real.into_iter().collect(), ..Ledger::default() }
    }

    /// Records the publication of a purge.
    pub fn tell(&mut self, at: Instant, object: u64) {
        self.numbers.insert(object.to_le_bytes(), self.purges.len());
        self.purges.push(Announcement::new(at));
    }

    /// Records the publication of a change.
    pub fn change(&mut self, at: Instant, host: &str) {
        self.hosts.insert(host.to_string(), self.changes.len());
        self.changes.push(Announcement::new(at));
    }

    /// A life begins with nothing.
    pub fn begin(&mut self, at: Instant, member: usize) {
        let incarnation = MemberIncarnation {
            born: at,
            over: false,
            has: Bits::default(),
            in_force: Bits::default(),
            low: self.purges.len(),
            floor: None,
            floors: 0,
            again: 0,
            changed: BTreeSet::new(),
        };
        if let Some(before) = self.incarnations.insert(member, incarnation) {
            self.floors_before += before.floors;
            self.again_before += before.again;
        }
    }

    /// Its life is over.
    pub fn end(&mut self, member: usize) {
        if let Some(incarnation) = self.incarnations.get_mut(&member) {
            incarnation.over = true;
        }
    }

    /// From then on.
    pub fn troubled(&mut self, at: Instant, member: usize, cause: Cause) {
        let disturbance = Disturbance { cause, from: at, till: None };
        self.disturbances.entry(member).or_default().push(disturbance);
    }

    /// The oldest trouble of that kind that lasts is over.
    pub fn untroubled(&mut self, at: Instant, member: usize, cause: Cause) {
        let lasts = |disturbance: &&mut Disturbance| disturbance.cause == cause && disturbance.till.is_none();
        let mut disturbances = self.disturbances.get_mut(&member).into_iter().flatten();
        if let Some(disturbance) = disturbances.find(lasts) {
            disturbance.till = Some(at);
        }
    }

    /// In effect at a member since then.
    pub fn purge(&mut self, at: Instant, member: usize, purge: Purge, age: Duration) {
        let real = self.real.contains(&member);
        let disturbances = self.disturbances.get(&member).map_or(&[][..], Vec::as_slice);
        let Some(incarnation) =
            self.incarnations.get_mut(&member).filter(|incarnation| at >= incarnation.born)
        else {
            return;
        };
        let object = match purge {
            Purge::Object(object) => object,
            Purge::Everything | Purge::Group(_) => {
                incarnation.floors += 1;
                incarnation.floor = incarnation.floor.max(at.checked_sub(age));
                while self
                    .purges
                    .get(incarnation.low)
                    .is_some_and(|told| incarnation.floor.is_some_and(|floor| told.at <= floor))
                {
                    if incarnation.in_force.add(incarnation.low) {
                        self.purges[incarnation.low].in_force(member, real, at, disturbances);
                    }
                    incarnation.low += 1;
                }
                return;
            }
        };
        let Some(number) = self.numbers.get(&object).copied() else { return };
        let told = &mut self.purges[number];
        if !incarnation.has.add(number) {
            incarnation.again += 1;
            return;
        }
        // A life that began later has it with all that it learns at its beginning.
        if incarnation.born >= told.at {
            return;
        }
        if !real {
            told.count += 1;
            told.worst = told.worst.max(at.saturating_duration_since(told.at));
        }
        if incarnation.in_force.add(number) {
            told.in_force(member, real, at, disturbances);
        }
        while incarnation.in_force.has(incarnation.low) {
            incarnation.low += 1;
        }
    }

    /// All these are in effect at a member since then.
    pub fn configure<'a>(&mut self, at: Instant, member: usize, hosts: impl IntoIterator<Item = &'a String>) {
        let real = self.real.contains(&member);
        let disturbances = self.disturbances.get(&member).map_or(&[][..], Vec::as_slice);
        let Some(incarnation) =
            self.incarnations.get_mut(&member).filter(|incarnation| at >= incarnation.born)
        else {
            return;
        };
        for number in hosts.into_iter().filter_map(|host| self.hosts.get(host)) {
            let told = &mut self.changes[*number];
            if !incarnation.changed.insert(*number) || incarnation.born >= told.at {
                continue;
            }
            if !real {
                told.count += 1;
                told.worst = told.worst.max(at.saturating_duration_since(told.at));
            }
            told.in_force(member, real, at, disturbances);
        }
    }

    /// Of each present life that began before then: what was told after its beginning and before then.
    pub fn judge(&self, before: Instant) -> BTreeMap<usize, Judged> {
        let judge = |incarnation: &MemberIncarnation| {
            let mut judged = Judged { again: incarnation.again, ..Judged::default() };
            let within = self.purges.iter().enumerate();
            let within = within.filter(|(_, told)| told.at > incarnation.born && told.at < before);
            for (number, told) in within {
                if incarnation.has.has(number) {
                    continue;
                }
                if incarnation.floor.is_some_and(|floor| told.at <= floor) {
                    judged.by_floor += 1;
                } else {
                    judged.passed_over += 1;
                }
            }
            judged
        };
        let incarnations = self.incarnations.iter().filter(|(_, incarnation)| !incarnation.over);
        incarnations.map(|(member, incarnation)| (*member, judge(incarnation))).collect()
    }

    /// Minimum accepted timestamps received in all.
    pub fn floors(&self) -> u64 {
        self.floors_before + self.incarnations.values().map(|incarnation| incarnation.floors).sum::<u64>()
    }

    /// Purges applied more than once by an incarnation, in all.
    pub fn again(&self) -> u64 {
        self.again_before + self.incarnations.values().map(|incarnation| incarnation.again).sum::<u64>()
    }
}
