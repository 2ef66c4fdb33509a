//! The cost of management: rounds with it off, on and idle, and on with subscribers, as ratios to off in the same round.

use crate::process::{Dispatcher, Management};
use crate::Rows;
use rockflow_process_harness::Usage;
use rockflow_test_servers::{Load, Site};
use rockflow_yang::Schema;
use serde_json::json;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a dispatcher runs before it is measured.
const WARM_UP: Duration = Duration::from_millis(700);
/// The interval at which subscribers receive samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Sessions that are allowed beside those of the subscribers.
const SPARE_SESSIONS: usize = 8;
/// The most sessions that the model allows.
const MAX_SESSIONS: usize = 256;
const KIB_PER_MIB: f64 = 1024.0;

/// What is measured, and for how long.
pub struct CostOptions {
    pub program: PathBuf,
    /// An earlier program, measured without management.
    pub before: Option<PathBuf>,
    pub rounds: usize,
    /// The length of one measurement.
    pub seconds: f64,
    pub clients: usize,
    pub subscribers: usize,
}

/// The variants that are compared.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// Without management.
    Off,
    /// With management that nobody uses.
    Idle,
    /// With management and its subscribers.
    Subscribers,
    /// The earlier program, without management.
    Before,
}

impl Variant {
    /// Its name in the table and the rows.
    fn name(self) -> &'static str {
        match self {
            Variant::Off => "off",
            Variant::Idle => "idle",
            Variant::Subscribers => "subscribers",
            Variant::Before => "before",
        }
    }

    fn management(self) -> Management {
        match self {
            Variant::Off | Variant::Before => Management::Off,
            Variant::Idle | Variant::Subscribers => Management::On,
        }
    }
}

/// The figures of one variant in one round.
struct Measurement {
    requests_per_second: f64,
    p99: Duration,
    /// Before the load.
    idle: Usage,
    /// Under load.
    busy: Usage,
    /// Messages that all subscribers together received.
    messages_per_second: f64,
}

/// Measures all variants in turn, round by round, and prints the table.
pub async fn run(options: &CostOptions, rows: &mut Rows) {
    let CostOptions { rounds, seconds, clients, subscribers, .. } = *options;
    let mut variants = vec![Variant::Off, Variant::Idle, Variant::Subscribers];
    if options.before.is_some() {
        variants.push(Variant::Before);
    }
    println!("{rounds} rounds of {seconds} s, {clients} clients without a pause, {subscribers} subscribers at 10 Hz");
    let mut measurements: Vec<Vec<Measurement>> = variants.iter().map(|_| Vec::new()).collect();
    for round in 0..rounds {
        for (index, variant) in variants.iter().enumerate() {
            let found = measure(options, *variant, round as u64 + 1).await;
            rows.write(&json!({"round": round, "kind": variant.name(), "queries_a_second": found.requests_per_second,
                "p99_us": found.p99.as_micros() as u64, "idle_rss_kb": found.idle.rss_kb, "busy_rss_kb": found.busy.rss_kb,
                "threads": found.busy.threads, "idle_descriptors": found.idle.descriptors,
                "told_a_second": found.messages_per_second}));
            measurements[index].push(found);
        }
    }
    println!("| kind | queries, ratio to off | p99, ratio to off | memory idle, MB | busy, MB | threads | descriptors idle | told a second |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (variant, found) in variants.iter().zip(&measurements) {
        print_row(*variant, found, &measurements[0]);
    }
}

async fn measure(options: &CostOptions, variant: Variant, seed: u64) -> Measurement {
    let earlier = options.before.as_ref().filter(|_| variant == Variant::Before);
    let program = earlier.unwrap_or(&options.program);
    let site = Site::start(4, 2, Duration::from_millis(1));
    for host in site.hosts.values() {
        host.stop_recording();
    }
    let dispatcher = Dispatcher::start(program, &site, variant.management()).await;
    let messages = Arc::new(AtomicU64::new(0));
    if variant == Variant::Subscribers {
        subscribe(&dispatcher, options.subscribers, &messages).await;
    }
    tokio::time::sleep(WARM_UP).await;
    let idle = dispatcher.usage();
    let messages_before = messages.load(Ordering::Relaxed);
    let started_at = Instant::now();
    let load = Load::start(dispatcher.address, options.clients, Duration::ZERO, seed);
    tokio::time::sleep(Duration::from_secs_f64(options.seconds)).await;
    let busy = dispatcher.usage();
    let received = messages.load(Ordering::Relaxed) - messages_before;
    let messages_per_second = received as f64 / started_at.elapsed().as_secs_f64();
    // `stop` blocks, and the subscribers must go on reading meanwhile.
    let summary = tokio::task::spawn_blocking(move || load.stop()).await.expect("a summary");
    let requests_per_second = summary.answered() as f64 / started_at.elapsed().as_secs_f64();
    let p99 = summary.latency_percentile(0.99);
    Measurement { requests_per_second, p99, idle, busy, messages_per_second }
}

/// Starts subscribers to the state of all hosts, which count their messages.
async fn subscribe(dispatcher: &Dispatcher, subscribers: usize, messages: &Arc<AtomicU64>) {
    let schema = Schema::published();
    let max_sessions = json!((subscribers + SPARE_SESSIONS).clamp(1, MAX_SESSIONS));
    let mut root = dispatcher.gnmi().await;
    let path = "/router/management/most-sessions";
    root.set(&schema, &[], &[], &[(path, max_sessions)]).await.expect("a set");
    let paths = ["/router/state/hosts/host".to_string()];
    for _ in 0..subscribers {
        let mut client = dispatcher.gnmi().await;
        let stream = client.follow(&schema, &paths, Some(SAMPLE_INTERVAL)).await;
        let mut stream = stream.expect("a subscription");
        let messages = messages.clone();
        tokio::spawn(async move {
            let _client = client;
            while let Ok(Some(_)) = stream.message().await {
                messages.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}

/// Prints the medians of a variant; `off` are the measurements without management, round by round.
fn print_row(variant: Variant, found: &[Measurement], off: &[Measurement]) {
    let ratio = |value: &dyn Fn(&Measurement) -> f64| {
        median(found.iter().zip(off).map(|(one, off)| value(one) / value(off)).collect())
    };
    let middle = |value: &dyn Fn(&Measurement) -> f64| median(found.iter().map(value).collect());
    println!(
        "| {} | {:.3} | {:.3} | {:.1} | {:.1} | {} | {} | {:.0} |",
        variant.name(),
        ratio(&|one| one.requests_per_second),
        ratio(&|one| one.p99.as_secs_f64()),
        middle(&|one| one.idle.rss_kb as f64 / KIB_PER_MIB),
        middle(&|one| one.busy.rss_kb as f64 / KIB_PER_MIB),
        middle(&|one| one.busy.threads as f64),
        middle(&|one| one.idle.descriptors as f64),
        middle(&|one| one.messages_per_second),
    );
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
