//! Requirements of each role in each scenario, computed by formulas from fitted slopes, assumptions and the target.

use crate::rows::{curves, Curve, Fit, How, Row};
use crate::target::Target;
use crate::Fault;
use exmex::Express;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The word for a mechanism that there is not.
pub const NONE: &str = "none";

/// A figure taken off a measured curve.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SlopeEntry {
    name: String,
    series: String,
    figure: String,
    #[serde(default)]
    parameters: BTreeMap<String, f64>,
    /// Where it is taken: a formula over the target and what stands before it.
    at: String,
    /// It may have no rows yet; what rests on it is then said to be not measured.
    #[serde(default)]
    awaited: bool,
    /// It is the figure of a run at just this size, not what is fitted to several.
    #[serde(default)]
    played: bool,
}

/// A figure that no row holds: read from the code, or an assumption.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AssumptionEntry {
    name: String,
    value: String,
    how: How,
    from: String,
}

/// One figure of one role at one moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NeedEntry {
    role: Role,
    moment: Scenario,
    #[serde(default)]
    design: Design,
    quantity: Quantity,
    /// Left out where nothing carries it.
    #[serde(default)]
    needed: Option<String>,
    #[serde(default)]
    allowed: Option<String>,
    /// What carries it; "none" where nothing does.
    mechanism: String,
}

/// Runs of whole fleets at their own size: a series a moment, named by what stands here and the moment's own word.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RunsEntry {
    series: String,
    /// The size that counts: a formula over the target and what stands before it.
    at: String,
    /// What else was chosen, each a formula.
    #[serde(default)]
    parameters: BTreeMap<String, String>,
    design: Design,
    mechanism: String,
    need: Vec<RunNeedEntry>,
}

/// What a role needs at each moment, as a figure of the runs: the worst over all seeds that were played.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RunNeedEntry {
    role: Role,
    quantity: Quantity,
    figure: String,
    #[serde(default)]
    allowed: Option<String>,
    /// At this moment only; all of them where it is left out.
    #[serde(default)]
    moment: Option<Scenario>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileOf {
    slope: Vec<SlopeEntry>,
    given: Vec<AssumptionEntry>,
    need: Vec<NeedEntry>,
    #[serde(default)]
    runs: Option<RunsEntry>,
}

macro_rules! words {
    ($(#[$about:meta])* $name:ident { $($(#[$on:meta])* $variant:ident = $word:literal),+ $(,)? }) => {
        $(#[$about])*
        /// One of a closed set of values, named in the file as in the page.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
        pub enum $name { $($(#[$on])* #[serde(rename = $word)] $variant),+ }

        impl $name {
            /// All values in the order of the page's tables.
            pub const ALL: &'static [$name] = &[$($name::$variant),+];

            /// The name in the file and in the page.
            pub fn as_str(self) -> &'static str {
                match self { $($name::$variant => $word),+ }
            }
        }
    };
}

words! {
    /// Who needs it.
    Role {
        Dispatcher = "dispatcher",
        Relay = "relay of a site or region",
        Control = "control machine",
        Keeper = "keeper of records",
        Board = "notice board",
        CacheHost = "cache host",
    }
}

words! {
    /// When.
    Scenario {
        Ordinary = "an ordinary minute",
        Restart = "a rolling restart",
        Zone = "a zone lost and back",
        Regions = "two regions meet again",
    }
}

impl Scenario {
    /// As series of rows name it (`rockflow-scale virtual --moment`).
    pub fn series_suffix(self) -> &'static str {
        match self {
            Scenario::Ordinary => "ordinary",
            Scenario::Restart => "restart",
            Scenario::Zone => "zone",
            Scenario::Regions => "regions",
        }
    }
}

words! {
    /// By what `serve` runs today, with what is built beside it, or by numbered dissemination.
    #[derive(Default)]
    Design {
        #[default]
        Today = "today",
        /// With membership and records of `rockflow-transport` beside, which `serve` does not run yet.
        Link = "today, the fleet's link switched on",
        Dissemination = "dissemination",
    }
}

words! {
    /// Of what.
    Quantity {
        Entries = "state, entries",
        StateBytes = "state, bytes",
        MessagesIn = "messages in, a second",
        MessagesOut = "messages out, a second",
        Messages = "messages in and out, a second",
        BytesIn = "bytes in, a second",
        BytesOut = "bytes out, a second",
        Core = "processor, of a core",
        Memory = "memory, bytes",
        Connections = "connections",
        MinuteIn = "bytes in, a second, in the worst minute",
        MinuteOut = "bytes out, a second, in the worst minute",
        SecondIn = "bytes in, in the worst second",
        SecondOut = "bytes out, in the worst second",
        Purge = "a purge in force at all, seconds",
        Change = "a change in force at all, seconds",
        Missed = "what was missed in force at all, seconds",
        PurgeKnown = "a purge known to be in force at all, seconds",
        ChangeKnown = "a change known to be in force at all, seconds",
        RestartsMembers = "restarts a day, for changes of members",
        RestartsSettings = "restarts a day, for changes of settings",
        OverBound = "calls to a cold host, over its bound",
    }
}

/// A curve with what was fitted to it, and where it is taken.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Name by which formulas refer to the slope.
    pub name: String,
    /// The measured curve to which the slope is fitted.
    pub curve: Curve,
    /// Name of the independent variable.
    pub x: String,
    /// Unit of the value.
    pub unit: String,
    /// None: a run at just this size.
    pub fit: Option<Fit>,
    /// The last value measured over the first.
    pub grown: f64,
    /// Size at which the fit is evaluated.
    pub at: f64,
    /// Value of the fit at that size.
    pub value: f64,
    /// Origin of the underlying rows.
    pub how: How,
    /// Command that reproduces the underlying rows.
    pub command: String,
}

/// A figure that no row holds.
#[derive(Clone, Debug)]
pub struct Assumption {
    /// Name by which formulas refer to the assumption.
    pub name: String,
    /// The assumed value.
    pub value: f64,
    /// Origin of the value.
    pub how: How,
    /// Source of the value.
    pub from: String,
}

/// What a role needs.
#[derive(Clone, Debug)]
pub struct Need {
    /// Role that has the requirement.
    pub role: Role,
    /// Scenario in which it arises.
    pub moment: Scenario,
    /// Design for which it is computed.
    pub design: Design,
    /// Resource that is required.
    pub quantity: Quantity,
    /// None: what it rests on is not measured yet, or nothing carries it.
    pub needed: Option<f64>,
    /// None: nothing carries it.
    pub formula: Option<String>,
    /// Allowed amount; `None` if the target sets no limit.
    pub allowed: Option<f64>,
    /// Mechanism behind the requirement.
    pub mechanism: String,
    /// Origin of the value.
    pub how: How,
    /// Of a figure of runs at their own size: how many seeds, and what was reduced.
    pub runs: Option<String>,
    /// The commands that gave the slopes or runs it rests on.
    pub commands: BTreeSet<String>,
}

impl Need {
    /// Needed over allowed.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.needed? / self.allowed?)
    }
}

/// A figure of the runs of one moment at their own size.
#[derive(Clone, Debug)]
pub struct RunFigure {
    /// Name of the figure.
    pub name: String,
    /// Unit of the figure.
    pub unit: String,
    /// The largest over the seeds: all of them are such that more is worse.
    pub worst: f64,
}

/// The runs of one moment.
#[derive(Clone, Debug)]
pub struct Runs {
    /// Scenario that was run.
    pub moment: Scenario,
    /// Size of the run.
    pub size: f64,
    /// Name of the size that was varied.
    pub x: String,
    /// Origin of the rows.
    pub how: How,
    /// Seeds of the runs.
    pub seeds: BTreeSet<u64>,
    /// What was done at a smaller size or shorter than told, and on how many seeds.
    pub reduced: BTreeMap<String, usize>,
    /// One for all seeds, where they differ in the seed only.
    pub commands: BTreeSet<String>,
    /// The figures of the runs.
    pub figures: Vec<RunFigure>,
}

impl Runs {
    /// All rows of one moment; none: there are none.
    fn of(moment: Scenario, rows: &[&Row]) -> Option<Runs> {
        let first = rows.first()?;
        let seeds: BTreeSet<_> = rows.iter().map(|row| row.seed).collect();
        let (mut figures, mut reduced) = (Vec::<RunFigure>::new(), BTreeMap::<_, BTreeSet<_>>::new());
        let mut commands = BTreeMap::<_, BTreeSet<_>>::new();
        for row in rows {
            if let Some(words) = &row.note {
                reduced.entry(words.clone()).or_default().insert(row.seed);
            }
            let without = row.command.replace(&format!("--seed {} ", row.seed), "--seeds SEEDS ");
            commands.entry(without).or_default().insert(row.seed);
            let value = row.y.value.unwrap_or(f64::INFINITY);
            match figures.iter_mut().find(|figure| figure.name == row.y.name) {
                Some(figure) => figure.worst = figure.worst.max(value),
                None => {
                    let (name, unit) = (row.y.name.clone(), row.y.unit.clone());
                    figures.push(RunFigure { name, unit, worst: value });
                }
            }
        }
        let listed = |seeds: &BTreeSet<u64>| seeds.iter().map(u64::to_string).collect::<Vec<_>>().join(",");
        Some(Runs {
            moment,
            size: first.x.value,
            x: first.x.name.clone(),
            how: first.how,
            seeds,
            reduced: reduced.into_iter().map(|(words, seeds)| (words, seeds.len())).collect(),
            commands: commands
                .into_iter()
                .map(|(words, seeds)| words.replace("SEEDS", &listed(&seeds)))
                .collect(),
            figures,
        })
    }

    /// Returns the figure with this name, if the runs have one.
    pub fn figure(&self, name: &str) -> Option<&RunFigure> {
        self.figures.iter().find(|figure| figure.name == name)
    }

    /// How many seeds were played, and what was reduced.
    pub fn words(&self) -> String {
        let seeds = match self.seeds.len() {
            1 => "1 seed".to_string(),
            count => format!("worst of {count} seeds"),
        };
        let reduced = self.reduced_summary().map(|words| format!("; **reduced**: {words}"));
        format!("run at its own size, {seeds}{}", reduced.unwrap_or_default())
    }

    /// What was reduced; none: nothing.
    pub fn reduced_summary(&self) -> Option<String> {
        let of = |(words, count): (&String, &usize)| match *count < self.seeds.len() {
            true => format!("{words} ({count} of {} seeds)", self.seeds.len()),
            false => words.clone(),
        };
        let words: Vec<_> = self.reduced.iter().map(of).collect();
        (!words.is_empty()).then(|| words.join("; "))
    }
}

/// All that is reckoned.
#[derive(Clone, Debug)]
pub struct Reckoned {
    /// Fitted slopes.
    pub slopes: Vec<Slope>,
    /// Assumptions.
    pub given: Vec<Assumption>,
    /// Requirements by role, scenario, design and quantity.
    pub needs: Vec<Need>,
    /// Moments that were not played at the size that counts are left out.
    pub runs: Vec<Runs>,
    /// What is allowed for figures of the runs, by their names.
    pub allowed: BTreeMap<String, f64>,
    /// Names of slopes that have no rows yet.
    pub awaited: BTreeSet<String>,
}

/// Names that formulas may use, and what is behind them.
struct Names {
    values: BTreeMap<String, f64>,
    /// How each was come by, and its command; of the target's nothing.
    from: BTreeMap<String, (How, Option<String>)>,
    awaited: BTreeSet<String>,
}

impl Names {
    /// The names in a formula.
    fn used(&self, formula: &str) -> Result<Vec<String>, String> {
        let parsed = exmex::parse::<f64>(formula).map_err(|what| format!("\"{formula}\": {what}"))?;
        Ok(parsed.var_names().to_vec())
    }

    /// The value of a formula; none: something in it is not measured yet.
    fn value(&self, formula: &str) -> Result<Option<f64>, String> {
        let parsed = exmex::parse::<f64>(formula).map_err(|what| format!("\"{formula}\": {what}"))?;
        let mut values = Vec::new();
        for name in parsed.var_names() {
            match self.values.get(name) {
                Some(value) => values.push(*value),
                None if self.awaited.contains(name) => return Ok(None),
                None => {
                    return Err(format!("\"{formula}\": {name} is neither in the target nor named before"))
                }
            }
        }
        let value = parsed.eval(&values).map_err(|what| format!("\"{formula}\": {what}"))?;
        match value.is_finite() {
            true => Ok(Some(value)),
            false => Err(format!("\"{formula}\" is no number")),
        }
    }

    fn add(&mut self, name: &str, value: f64, how: How, command: Option<String>) -> Result<(), String> {
        self.from.insert(name.to_string(), (how, command));
        match self.values.insert(name.to_string(), value) {
            None => Ok(()),
            Some(_) => Err(format!("{name} is named twice")),
        }
    }

    /// How a formula's value was come by: as the one figure that it is, or reckoned from several.
    fn how(&self, formula: &str) -> Result<(How, BTreeSet<String>), String> {
        let used = self.used(formula)?;
        let from: Vec<_> = used.iter().filter_map(|name| self.from.get(name)).collect();
        let alone = used.len() == 1 && formula.trim() == used[0];
        let how = from.first().filter(|_| alone).map_or(How::Reckoned, |(how, _)| *how);
        Ok((how, from.iter().filter_map(|(_, command)| command.clone()).collect()))
    }
}

impl Reckoned {
    /// Reads the file and reckons all of it. A fault names the file, the entry and what is wrong with it.
    pub fn read(path: &Path, target: &Target, rows: &[Row]) -> Result<Reckoned, Fault> {
        let text = std::fs::read_to_string(path).map_err(|what| format!("{}: {what}", path.display()))?;
        Reckoned::parse(&text, target, rows).map_err(|what| Fault(format!("{}: {what}", path.display())))
    }

    /// The same from the text of the file.
    pub fn parse(text: &str, target: &Target, rows: &[Row]) -> Result<Reckoned, Fault> {
        let file: FileOf = toml::from_str(text).map_err(|what| what.to_string().trim().to_string())?;
        let mut names = Names { values: BTreeMap::new(), from: BTreeMap::new(), awaited: BTreeSet::new() };
        names.values.extend(target.figures().map(|(name, figure)| (name.to_string(), figure)));
        let (mut slopes, mut given, mut needs) = (Vec::new(), Vec::new(), Vec::new());
        for entry in file.given {
            let at = |what: String| Fault(format!("given {}: {what}", entry.name));
            let value = names.value(&entry.value).map_err(at)?;
            let value = value.ok_or_else(|| at("rests on what is not measured".to_string()))?;
            names.add(&entry.name, value, entry.how, None).map_err(at)?;
            given.push(Assumption { name: entry.name, value, how: entry.how, from: entry.from });
        }
        let curves = curves(rows);
        for entry in file.slope {
            let at = |what: String| Fault(format!("slope {}: {what}", entry.name));
            let parameters = entry.parameters.iter();
            let curve = Curve {
                series: entry.series.clone(),
                figure: entry.figure.clone(),
                parameters: parameters.map(|(name, value)| (name.clone(), value.to_string())).collect(),
            };
            let Some(points) = curves.get(&curve) else {
                if !entry.awaited {
                    return Err(at(format!("no rows of {curve}")));
                }
                names.awaited.insert(entry.name);
                continue;
            };
            let x = names.value(&entry.at).map_err(at)?;
            let x = x.ok_or_else(|| at("rests on what is not measured".to_string()))?;
            let (fit, value) = if entry.played {
                let run = points.iter().find(|(size, _)| *size == x);
                (None, run.ok_or_else(|| at(format!("{curve} was not played at {x}")))?.1)
            } else {
                let fit = Fit::of(points).map_err(|what| at(what.to_string()))?;
                (Some(fit), fit.at(x))
            };
            let row = rows.iter().find(|row| row.curve() == curve).expect("a curve has rows");
            names.add(&entry.name, value, row.how, Some(row.command.clone())).map_err(at)?;
            slopes.push(Slope {
                name: entry.name,
                curve,
                x: row.x.name.clone(),
                unit: row.y.unit.clone(),
                fit,
                grown: points[points.len() - 1].1 / points[0].1,
                at: x,
                value,
                how: row.how,
                command: row.command.clone(),
            });
        }
        for entry in file.need {
            let (role, moment) = (entry.role.as_str(), entry.moment.as_str());
            let at = |what: String| Fault(format!("{role}, {moment}, {}: {what}", entry.quantity.as_str()));
            if entry.needed.is_none() != (entry.mechanism == NONE && entry.quantity == Quantity::Change) {
                let only = "only a change at all that no mechanism carries goes without what is needed";
                return Err(at(only.to_string()));
            }
            let formula = entry.needed.as_deref().unwrap_or("0");
            let needed = names.value(formula).map_err(at)?.filter(|_| entry.needed.is_some());
            let allowed = entry.allowed.as_deref().map(|formula| names.value(formula)).transpose();
            let allowed = allowed.map_err(at)?.flatten();
            let (how, commands) = names.how(formula).map_err(at)?;
            let how = if entry.needed.is_none() { How::Read } else { how };
            needs.push(Need {
                role: entry.role,
                moment: entry.moment,
                design: entry.design,
                quantity: entry.quantity,
                needed,
                formula: entry.needed,
                allowed,
                mechanism: entry.mechanism,
                how,
                runs: None,
                commands,
            });
        }
        let (mut runs, mut allowed) = (Vec::new(), BTreeMap::new());
        if let Some(entry) = file.runs {
            let at = |what: String| Fault(format!("runs {}: {what}", entry.series));
            let known = |formula: &str| {
                let value = names.value(formula).map_err(at)?;
                value.ok_or_else(|| at(format!("\"{formula}\" rests on what is not measured")))
            };
            let size = known(&entry.at)?;
            let mut chosen = BTreeMap::new();
            for (name, formula) in &entry.parameters {
                chosen.insert(name.clone(), known(formula)?);
            }
            for moment in Scenario::ALL {
                let series = format!("{}-{}", entry.series, moment.series_suffix());
                let counts =
                    |row: &&Row| row.series == series && row.x.value == size && row.parameters == chosen;
                runs.extend(Runs::of(*moment, &rows.iter().filter(counts).collect::<Vec<_>>()));
            }
            for need in &entry.need {
                let value = need.allowed.as_deref().map(known).transpose()?;
                allowed.extend(value.map(|value| (need.figure.clone(), value)));
                for moment in Scenario::ALL {
                    if need.moment.is_some_and(|only| only != *moment) {
                        continue;
                    }
                    let played = runs.iter().find(|runs| runs.moment == *moment);
                    let missing = || at(format!("no figure \"{}\" at {}", need.figure, moment.as_str()));
                    let figure =
                        played.map(|runs| runs.figure(&need.figure).ok_or_else(missing)).transpose()?;
                    let needed = figure.map(|figure| figure.worst);
                    let mine = |other: &Need| {
                        let stands = (other.role, other.moment, other.design, other.quantity);
                        stands == (need.role, *moment, entry.design, need.quantity)
                    };
                    let of_slopes = needs.iter().position(mine);
                    // Of a slope's figure and the runs' the larger stands.
                    if of_slopes.is_some_and(|place| needed <= needs[place].needed) {
                        continue;
                    }
                    let found = Need {
                        role: need.role,
                        moment: *moment,
                        design: entry.design,
                        quantity: need.quantity,
                        needed,
                        formula: Some(need.figure.clone()),
                        allowed: value,
                        mechanism: entry.mechanism.clone(),
                        how: played.map_or(How::Measured, |runs| runs.how),
                        runs: played.map(Runs::words),
                        commands: played.map(|runs| runs.commands.clone()).unwrap_or_default(),
                    };
                    match of_slopes {
                        Some(place) => needs[place] = found,
                        None => needs.push(found),
                    }
                }
            }
        }
        Ok(Reckoned { slopes, given, needs, runs, allowed, awaited: names.awaited })
    }
}
