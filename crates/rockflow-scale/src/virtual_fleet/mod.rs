//! A whole fleet in virtual time (`virtual`): convergence times, costs of each member and violations of invariants, all
//! reproducible from a seed. `world` simulates the fleet, `checker` verifies it, `moments` runs the scenarios.

pub mod against;
pub mod checker;
pub mod figures;
pub mod layout;
pub mod moments;
pub mod traffic;
pub mod wire;
pub mod world;

use crate::rows::{self, Found, How, Row, Size};
use crate::target::Target;
use crate::Fault;
use clap::{Args, ValueEnum};
use moments::{MeanWorst, Scenario, ScenarioResult, Times};
use rockflow_process_harness::{Process, Start};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::FleetConfig;

/// The target that is meant where none is named.
const TARGET: &str = "docs/capacity/target.toml";
/// Where the rows of the page stand.
const ROWS: &str = "docs/capacity/rows";
/// Worlds that may be played at a time.
const MAX_AT_A_TIME: u64 = 64;
/// Between two looks at the processes that play.
const LOOK: Duration = Duration::from_millis(20);
/// How long a line of a process that has ended is waited for; the end of its output comes sooner.
const LAST_LINES: Duration = Duration::from_secs(1);

/// What `virtual` is asked for.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The size to carry and what is allowed for it
    #[arg(long, default_value = TARGET)]
    pub target: PathBuf,
    /// Repeats the course, each of them if there are several; told from the clock where it is left out
    #[arg(long, visible_alias = "seeds", value_delimiter = ',')]
    pub seed: Vec<u64>,
    /// Which moments are played
    #[arg(long, value_enum, default_value = "all", value_delimiter = ',')]
    pub moment: Vec<Which>,
    /// Minutes of an ordinary time; for regions apart, at most so many
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=120))]
    pub minutes: u64,
    /// Members, in place of the target's, with sites, zones and regions in proportion
    #[arg(long, value_parser = clap::value_parser!(u64).range(2..=60_000))]
    pub members: Option<u64>,
    /// Purges a second, in place of the target's
    #[arg(long)]
    pub purges: Option<f64>,
    /// Members are spread over the sites evenly
    #[arg(long)]
    pub even: bool,
    /// Where all figures are written
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// What else is played in the same run, to be held against it
    #[arg(long, value_enum)]
    pub against: Option<Other>,
    /// Plays an ordinary minute over several sizes and rates, and appends rows to this file, as JSON lines
    #[arg(long)]
    pub slopes: Option<PathBuf>,
    /// Puts the figures of each moment and seed into this file, as JSON lines; rows of other moments, seeds and sizes stay
    #[arg(long, conflicts_with = "slopes")]
    pub rows: Option<PathBuf>,
    /// Moments and seeds that are played at a time, each in a process of its own: memory is counted by process
    #[arg(long, conflicts_with_all = ["slopes", "against", "json"], value_parser = clap::value_parser!(u64).range(1..=MAX_AT_A_TIME))]
    pub at_a_time: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Which {
    Ordinary,
    Restart,
    Zone,
    Regions,
    All,
}

impl Which {
    fn is(self, moment: Scenario) -> bool {
        match self {
            Which::All => true,
            Which::Ordinary => moment == Scenario::Ordinary,
            Which::Restart => moment == Scenario::Restart,
            Which::Zone => moment == Scenario::Zone,
            Which::Regions => moment == Scenario::Regions,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Other {
    /// All call the board; a file and a signal for each process
    Board,
}

const MEMBERS: [usize; 5] = [100, 300, 600, 900, 1800];
const PURGES: [f64; 5] = [10.0, 49.0, 100.0, 200.0, 490.0];
const REGIONS: [usize; 5] = [2, 6, 12, 20, 29];
/// The fleet in which rates and regions are varied.
const ONE_SIZE: usize = 300;

/// Plays what was asked for, and prints it.
pub fn run(options: &Options) -> Result<(), Fault> {
    let target = Target::read(&options.target)?;
    let seeds = match &options.seed[..] {
        [] => {
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            vec![since.unwrap_or_default().as_millis() as u64 % 1_000_000]
        }
        seeds => seeds.to_vec(),
    };
    if let Some(path) = &options.slopes {
        let [seed] = seeds[..] else { return Err(Fault("slopes are of one seed".to_string())) };
        println!("seed {seed}");
        return slopes(&target, seed, path);
    }
    let wanted = |moment: &Scenario| options.moment.iter().any(|which| which.is(*moment));
    let chosen: Vec<_> = Scenario::ALL.into_iter().filter(wanted).collect();
    let courses: Vec<_> =
        seeds.iter().flat_map(|seed| chosen.iter().map(|moment| (*moment, *seed))).collect();
    if let Some(at_a_time) = options.at_a_time {
        return run_in_parallel(options, &courses, at_a_time as usize);
    }
    let (mut all, mut broken) = (Vec::new(), Vec::new());
    for (moment, seed) in courses {
        println!("seed {seed}");
        let play = told(&target, options, seed);
        let parameters = parameters(&play);
        let clock = Instant::now();
        let came = moments::run_scenario(&target, play, moment, options.minutes);
        println!("{}", table(&came, &target));
        println!("  played in {:.0} s", clock.elapsed().as_secs_f64());
        if let Some(path) = &options.rows {
            rows::replace(path, &figures::rows(&came, &parameters, &command(options, moment, seed, path)))?;
        }
        if came.broken() > 0 {
            broken.push(format!("{} violations on seed {seed}", came.broken()));
        }
        all.push(came);
    }
    if options.against == Some(Other::Board) {
        let play = told(&target, options, seeds[0]);
        let against = against::board(&play).map_err(|what| what.to_string())?;
        if let Some(came) = all.first() {
            println!("{}", against::table(came, &against, play.shape.control));
        }
    }
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&all).map_err(|what| what.to_string())?;
        std::fs::write(path, text + "\n").map_err(|what| format!("{}: {what}", path.display()))?;
    }
    match broken.is_empty() {
        true => Ok(()),
        false => Err(Fault(broken.join(", "))),
    }
}

/// What was chosen of a course beside its moment and seed, as its rows name it.
fn parameters(play: &FleetConfig) -> BTreeMap<String, f64> {
    let even = play.shape.even.then(|| ("even".to_string(), 1.0));
    [("purges a second".to_string(), play.purges_per_second)].into_iter().chain(even).collect()
}

/// The words after the program's name that play one moment on one seed.
fn arguments(options: &Options, moment: Scenario, seed: u64) -> Vec<String> {
    let mut words: Vec<String> = ["virtual", "--seed", &seed.to_string(), "--moment", moment.as_str()]
        .map(str::to_string)
        .into_iter()
        .collect();
    let mut add = |name: &str, value: Option<String>| {
        words.extend(value.into_iter().flat_map(|value| [name.to_string(), value]))
    };
    add("--minutes", Some(options.minutes.to_string()));
    add("--members", options.members.map(|members| members.to_string()));
    add("--purges", options.purges.map(|purges| purges.to_string()));
    let other = Some(&options.target).filter(|target| **target != Path::new(TARGET));
    add("--target", other.map(|target| target.display().to_string()));
    words.extend(options.even.then(|| "--even".to_string()));
    words
}

/// What gives the rows of a moment again, wherever the file stands now.
fn command(options: &Options, moment: Scenario, seed: u64, rows: &Path) -> String {
    let name = rows.file_name().unwrap_or_default().to_string_lossy();
    format!("rockflow-scale {} --rows {ROWS}/{name}", arguments(options, moment, seed).join(" "))
}

/// Plays courses in processes of their own, so many at a time, and prints what each said once it has ended. They are
/// ended with this one.
fn run_in_parallel(options: &Options, courses: &[(Scenario, u64)], at_a_time: usize) -> Result<(), Fault> {
    let fault = |what: std::io::Error| Fault(format!("a process that plays: {what}"));
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone()).map_err(fault)?;
    }
    let program = std::env::current_exe().map_err(fault)?;
    let (mut waiting, mut playing) = (courses.iter(), Vec::<(Process, String, Vec<String>)>::new());
    let mut failed = Vec::new();
    loop {
        while playing.len() < at_a_time {
            let Some((moment, seed)) = waiting.next() else { break };
            let mut start = Start::of(&program).args(arguments(options, *moment, *seed)).with_pipes();
            if let Some(rows) = &options.rows {
                start = start.arg("--rows").arg(rows);
            }
            playing.push((
                start.start().map_err(fault)?,
                format!("{} on seed {seed}", moment.as_str()),
                Vec::new(),
            ));
        }
        if playing.is_empty() {
            break;
        }
        if interrupted.load(Ordering::Relaxed) {
            return Err(Fault("interrupted".to_string()));
        }
        std::thread::sleep(LOOK);
        let mut still = Vec::new();
        for (mut process, name, mut said) in playing {
            let ended = process.exit_status();
            said.extend(std::iter::from_fn(|| process.try_read_line().ok()));
            match ended {
                None => still.push((process, name, said)),
                Some(status) => {
                    // Its last lines may still be on their way.
                    said.extend(std::iter::from_fn(|| process.read_line_timeout(LAST_LINES).ok()));
                    println!("{}", said.join("\n"));
                    failed.extend((!status.success()).then(|| format!("{name}: {status}")));
                }
            }
        }
        playing = still;
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(Fault(failed.join(", "))),
    }
}

fn told(target: &Target, options: &Options, seed: u64) -> FleetConfig {
    let mut play = moments::play(target, seed);
    if let Some(members) = options.members {
        let (near, far) = (play.shape.near, play.shape.far);
        play.shape = layout::Shape { near, far, ..layout::Shape::of(members as usize) };
    }
    play.shape.even = options.even;
    play.purges_per_second = options.purges.unwrap_or(play.purges_per_second);
    play
}

/// Figures of a moment, each with its share of what is allowed.
fn table(came: &ScenarioResult, target: &Target) -> String {
    let allowed = |name: &str| target.get(name).unwrap_or(f64::NAN);
    let mut lines = vec![format!(
        "{:?}: {} members, {} s, {} published, seed {}{}",
        came.moment,
        came.members,
        came.seconds,
        came.published,
        came.seed,
        came.reduced.as_ref().map(|words| format!(" (reduced: {words})")).unwrap_or_default()
    )];
    let mut times = |what: &str, times: &Times, allowed: Option<f64>| {
        let over = allowed.map(|allowed| format!(", worst {:.2} of allowed", times.worst / allowed));
        lines.push(format!(
            "  {what:<38} median {:>7.3} s, 99th {:>7.3} s, worst {:>7.3} s of {}{}",
            times.median,
            times.p99,
            times.worst,
            times.count,
            over.unwrap_or_default()
        ));
    };
    let (purge, change) = (allowed("purge_done_seconds"), allowed("change_in_force_seconds"));
    times("purge in force everywhere", &came.purges, Some(purge));
    times("change in force everywhere", &came.changes, Some(change));
    if let Some(apart) = &came.apart {
        times("purges of the time apart, once to be had", apart, None);
    }
    times("purge known to be", &came.purges_known, None);
    times("change known to be", &came.changes_known, None);
    times("new life goes by all settings", &came.begun, None);
    let bytes = allowed("kb_per_second") * 1024.0;
    let core = allowed("core_share");
    let memory = allowed("memory_mb") * 1_048_576.0;
    let mut spread = |what: &str, found: &MeanWorst, allowed: Option<f64>| {
        let over = allowed.map(|allowed| {
            format!(" ({:.3} and {:.3} of allowed)", found.mean / allowed, found.worst / allowed)
        });
        lines.push(format!(
            "  {what:<38} mean {:>12.4}, worst member {:>12.4}{}",
            found.mean,
            found.worst,
            over.unwrap_or_default()
        ));
    };
    spread("bytes a second in", &came.bytes_in, Some(bytes));
    spread("bytes a second out", &came.bytes_out, Some(bytes));
    spread("the same, greatest minute in", &came.minute_in, Some(bytes));
    spread("the same, greatest minute out", &came.minute_out, Some(bytes));
    spread("the same, greatest second in", &came.second_in, Some(bytes));
    spread("the same, greatest second out", &came.second_out, Some(bytes));
    spread("frames a second in and out", &came.frames, None);
    spread("control: bytes a second in", &came.control_bytes_in, None);
    spread("control: bytes a second out", &came.control_bytes_out, None);
    spread("core", &came.core, Some(core));
    spread("control: core", &came.control_core, None);
    spread("heap bytes", &came.memory, Some(memory));
    spread("control: heap bytes", &came.control_memory, None);
    lines.push(format!(
        "  floors {} (for {} entries at members), past their time {}; frames lost {}, cut {}, at full sockets {}, to nobody {}; never known everywhere {}",
        came.floors, came.covered, came.expired, came.lost[0], came.lost[1], came.lost[2], came.lost[3], came.purges_unknown
    ));
    lines.push(format!("  the most that one node held: {:?}", came.most));
    lines.push(format!("  violations {} {:?}", came.broken(), came.violations));
    lines.extend(came.words.iter().map(|words| format!("    {words}")));
    lines.join("\n")
}

/// An ordinary minute over members, purges a second and regions.
fn slopes(target: &Target, seed: u64, path: &std::path::Path) -> Result<(), Fault> {
    let whole = moments::play(target, seed);
    let sized = |members: usize| {
        let (near, far) = (whole.shape.near, whole.shape.far);
        FleetConfig { shape: layout::Shape { near, far, ..layout::Shape::of(members) }, ..whole.clone() }
    };
    let mut plays: Vec<(&str, &str, f64, FleetConfig)> = Vec::new();
    for members in MEMBERS {
        plays.push(("dissemination-members", "members", members as f64, sized(members)));
    }
    for purges in PURGES {
        let play = FleetConfig { purges_per_second: purges, ..sized(ONE_SIZE) };
        plays.push(("dissemination-purges", "purges a second", purges, play));
    }
    for regions in REGIONS {
        let mut play = sized(ONE_SIZE);
        play.shape.regions = regions;
        play.shape.zones = play.shape.zones.max(regions);
        play.shape.sites = play.shape.sites.max(play.shape.zones);
        plays.push(("dissemination-regions", "regions", regions as f64, play));
    }
    let mut kept = if path.exists() { rows::read(path)? } else { Vec::new() };
    let mut broken = 0;
    for (series, name, value, play) in plays {
        let others = match series {
            "dissemination-members" => {
                BTreeMap::from([("purges a second".to_string(), play.purges_per_second)])
            }
            _ => BTreeMap::from([("members".to_string(), play.shape.members as f64)]),
        };
        let came = moments::run_scenario(target, play, Scenario::Ordinary, 1);
        broken += came.broken();
        println!("{series}, {name} {value}");
        println!("{}", table(&came, target));
        let figures = [
            ("bytes a second in, mean", came.bytes_in.mean, "B/s"),
            ("bytes a second in, worst member", came.bytes_in.worst, "B/s"),
            ("bytes a second out, mean", came.bytes_out.mean, "B/s"),
            ("bytes a second out, worst member", came.bytes_out.worst, "B/s"),
            ("frames a second", came.frames.mean, "frames/s"),
            ("core", came.core.mean, "of a core"),
            ("core, worst member", came.core.worst, "of a core"),
            ("heap", came.memory.mean, "B"),
            ("heap, worst member", came.memory.worst, "B"),
            ("control: bytes a second in, worst", came.control_bytes_in.worst, "B/s"),
            ("control: bytes a second out, worst", came.control_bytes_out.worst, "B/s"),
            ("control: core, worst", came.control_core.worst, "of a core"),
            ("control: heap, worst", came.control_memory.worst, "B"),
            ("purge in force everywhere, median", came.purges.median, "s"),
            ("purge in force everywhere, 99th", came.purges.p99, "s"),
            ("purge in force everywhere, worst", came.purges.worst, "s"),
            ("change in force everywhere, worst", came.changes.worst, "s"),
            ("purge known everywhere, median", came.purges_known.median, "s"),
        ];
        kept.retain(|row| row.series != series || row.x.value != value);
        kept.extend(figures.into_iter().map(|(figure, found, unit)| Row {
            series: series.to_string(),
            x: Size { name: name.to_string(), value },
            y: Found { name: figure.to_string(), value: Some(found), unit: unit.to_string() },
            seed,
            parameters: others.clone(),
            command: format!(
                "rockflow-scale virtual --seed {seed} --slopes docs/capacity/rows/dissemination.jsonl"
            ),
            how: How::Measured,
            note: None,
        }));
        rows::write(path, &kept)?;
    }
    match broken {
        0 => Ok(()),
        _ => Err(Fault(format!("{broken} violations on seed {seed}"))),
    }
}

/// A short course of a small fleet, for a look at what it costs to play.
pub fn small(members: usize, seed: u64, span: Duration) -> world::World {
    let mut world = world::World::new(FleetConfig::new(members, seed));
    world.busy(span);
    world.play_to(span);
    world
}
