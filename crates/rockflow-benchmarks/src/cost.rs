//! Measures the cost of management. Each round runs the dispatcher with management off, on and idle, and on with
//! subscribers; throughput and latency are compared with the run without management of the same round.

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

/// How long a dispatcher runs without load before its idle usage is measured.
const WARM_UP: Duration = Duration::from_millis(700);
/// The interval at which each subscriber receives samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Management sessions that are allowed in addition to those of the subscribers.
const SPARE_SESSIONS: usize = 8;
/// The upper limit of `most-sessions` in the YANG model.
const MAX_SESSIONS: usize = 256;
const KIB_PER_MIB: f64 = 1024.0;

/// The options of the `cost` command.
pub struct CostOptions {
    /// The program to measure.
    pub program: PathBuf,
    /// An earlier version of the program, which is measured without management; `None` to measure the current one only.
    pub before: Option<PathBuf>,
    /// How many times every variant is measured.
    pub rounds: usize,
    /// The duration of the load in one measurement, in seconds.
    pub seconds: f64,
    /// Clients that send requests without a pause.
    pub clients: usize,
    /// gNMI subscribers in the variant that has them.
    pub subscribers: usize,
}

/// A way to run the dispatcher. All variants are compared with [`Variant::Off`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The program without management.
    Off,
    /// The program with management to which no client is connected.
    Idle,
    /// The program with management and subscribers.
    Subscribers,
    /// The earlier version of the program, without management.
    Before,
}

impl Variant {
    /// The name of the variant in the table and in the rows.
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

/// The results of one variant in one round.
struct Measurement {
    requests_per_second: f64,
    /// The 99th percentile of the latency.
    p99: Duration,
    /// Resource usage before the load.
    idle: Usage,
    /// Resource usage at the end of the load.
    busy: Usage,
    /// The rate of messages to all subscribers together.
    messages_per_second: f64,
}

/// Measures every variant once in each round, and prints the table of medians.
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
            let measurement = measure(options, *variant, round as u64 + 1).await;
            rows.write(&json!({"round": round, "kind": variant.name(),
                "queries_a_second": measurement.requests_per_second,
                "p99_us": measurement.p99.as_micros() as u64, "idle_rss_kb": measurement.idle.rss_kb,
                "busy_rss_kb": measurement.busy.rss_kb, "threads": measurement.busy.threads,
                "idle_descriptors": measurement.idle.descriptors, "told_a_second": measurement.messages_per_second}));
            measurements[index].push(measurement);
        }
    }
    println!("| kind | requests per second, ratio to off | p99, ratio to off | idle memory, MiB | busy memory, MiB | threads | idle descriptors | messages per second |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (variant, measured) in variants.iter().zip(&measurements) {
        print_row(*variant, measured, &measurements[0]);
    }
}

/// Starts a dispatcher in the given variant, puts it under load and measures it.
async fn measure(options: &CostOptions, variant: Variant, seed: u64) -> Measurement {
    let earlier_program = options.before.as_ref().filter(|_| variant == Variant::Before);
    let program = earlier_program.unwrap_or(&options.program);
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
    // `stop` blocks its thread, while the subscribers on this runtime must go on reading.
    let summary = tokio::task::spawn_blocking(move || load.stop()).await.expect("a summary");
    let requests_per_second = summary.answered() as f64 / started_at.elapsed().as_secs_f64();
    let p99 = summary.latency_percentile(0.99);
    Measurement { requests_per_second, p99, idle, busy, messages_per_second }
}

/// Starts subscribers to the state of all hosts, which add the messages that they receive to `messages`.
async fn subscribe(dispatcher: &Dispatcher, subscribers: usize, messages: &Arc<AtomicU64>) {
    let schema = Schema::published();
    let max_sessions = json!((subscribers + SPARE_SESSIONS).clamp(1, MAX_SESSIONS));
    let mut root = dispatcher.gnmi().await;
    let path = "/router/management/most-sessions";
    root.set(&schema, &[], &[], &[(path, max_sessions)]).await.expect("a new limit of sessions");
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

/// Prints the medians over all rounds of a variant. `off` are the measurements without management of the same rounds.
fn print_row(variant: Variant, measurements: &[Measurement], off: &[Measurement]) {
    let median_ratio = |figure: &dyn Fn(&Measurement) -> f64| {
        let pairs = measurements.iter().zip(off);
        median(pairs.map(|(measured, off)| figure(measured) / figure(off)).collect())
    };
    let median_of = |figure: &dyn Fn(&Measurement) -> f64| median(measurements.iter().map(figure).collect());
    println!(
        "| {} | {:.3} | {:.3} | {:.1} | {:.1} | {} | {} | {:.0} |",
        variant.name(),
        median_ratio(&|measured| measured.requests_per_second),
        median_ratio(&|measured| measured.p99.as_secs_f64()),
        median_of(&|measured| measured.idle.rss_kb as f64 / KIB_PER_MIB),
        median_of(&|measured| measured.busy.rss_kb as f64 / KIB_PER_MIB),
        median_of(&|measured| measured.busy.threads as f64),
        median_of(&|measured| measured.idle.descriptors as f64),
        median_of(&|measured| measured.messages_per_second),
    );
}

/// The median, or the higher of the two middle values of an even number.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
