//! What management costs: rounds of off, on and idle, on with subscribers, in turn, each against the same
//! stand-ins; figures as ratios to off in the same round.

use crate::process::Dispatcher;
use crate::Rows;
use rockflow_process_harness::Usage;
use rockflow_test_servers::{Load, Site};
use rockflow_yang::Schema;
use serde_json::json;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const WARM: Duration = Duration::from_millis(700);
const PERIOD: Duration = Duration::from_millis(100);

/// What is measured, and how long.
pub struct Plan {
    pub program: PathBuf,
    /// An earlier program, without management.
    pub before: Option<PathBuf>,
    pub rounds: usize,
    pub seconds: f64,
    pub clients: usize,
    pub subscribers: usize,
}

struct Measured {
    a_second: f64,
    p99: Duration,
    /// After the start, and under load.
    idle: Usage,
    busy: Usage,
    /// Messages that subscribers were told a second.
    told: f64,
}

async fn one(plan: &Plan, kind: &str, seed: u64) -> Measured {
    let Plan { seconds, clients, subscribers, .. } = *plan;
    let program = plan.before.as_ref().filter(|_| kind == "before").unwrap_or(&plan.program);
    let site = Site::start(4, 2, Duration::from_millis(1));
    site.hosts.values().for_each(|host| host.stop_recording());
    let dispatcher = Dispatcher::start(program, &site, !matches!(kind, "off" | "before")).await;
    let told = Arc::new(AtomicU64::new(0));
    if kind == "subscribers" {
        let schema = Schema::published();
        // A session for each, past the usual cap on them.
        let most = json!((subscribers + 8).clamp(1, 256));
        let mut root = dispatcher.gnmi().await;
        let path = "/router/management/most-sessions";
        root.set(&schema, &[], &[], &[(path, most)]).await.expect("a set");
        let paths = ["/router/state/hosts/host".to_string()];
        for _ in 0..subscribers {
            let mut client = dispatcher.gnmi().await;
            let mut stream = client.follow(&schema, &paths, Some(PERIOD)).await.expect("a subscription");
            let told = told.clone();
            tokio::spawn(async move {
                let _client = client;
                while let Ok(Some(_)) = stream.message().await {
                    told.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    }
    tokio::time::sleep(WARM).await;
    let idle = dispatcher.held();
    let before = told.load(Ordering::Relaxed);
    let begun = Instant::now();
    let load = Load::start(dispatcher.address, clients, Duration::ZERO, seed);
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    let busy = dispatcher.held();
    let told = (told.load(Ordering::Relaxed) - before) as f64 / begun.elapsed().as_secs_f64();
    // In a thread of its own: the subscribers must go on being read.
    let summary = tokio::task::spawn_blocking(move || load.stop()).await.expect("a summary");
    let a_second = summary.answered() as f64 / begun.elapsed().as_secs_f64();
    Measured { a_second, p99: summary.latency_percentile(0.99), idle, busy, told }
}

pub async fn run(plan: &Plan, rows: &mut Rows) -> bool {
    let Plan { rounds, seconds, clients, subscribers, .. } = *plan;
    let mut kinds = vec!["off", "idle", "subscribers"];
    kinds.extend(plan.before.is_some().then_some("before"));
    println!("{rounds} rounds of {seconds} s, {clients} clients without a pause, {subscribers} subscribers at 10 Hz");
    let mut all: Vec<Vec<Measured>> = (0..kinds.len()).map(|_| Vec::new()).collect();
    for round in 0..rounds {
        for (place, kind) in kinds.iter().enumerate() {
            let found = one(plan, kind, round as u64 + 1).await;
            rows.write(&json!({"round": round, "kind": kind, "queries_a_second": found.a_second,
                "p99_us": found.p99.as_micros() as u64, "idle_rss_kb": found.idle.rss_kb, "busy_rss_kb": found.busy.rss_kb,
                "threads": found.busy.threads, "idle_descriptors": found.idle.descriptors, "told_a_second": found.told}));
            all[place].push(found);
        }
    }
    let median = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    println!("| kind | queries, ratio to off | p99, ratio to off | memory idle, MB | busy, MB | threads | descriptors idle | told a second |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (place, kind) in kinds.iter().enumerate() {
        let ratio = |value: &dyn Fn(&Measured) -> f64| {
            median(all[place].iter().zip(&all[0]).map(|(one, off)| value(one) / value(off)).collect())
        };
        let middle = |value: &dyn Fn(&Measured) -> f64| median(all[place].iter().map(value).collect());
        println!(
            "| {kind} | {:.3} | {:.3} | {:.1} | {:.1} | {} | {} | {:.0} |",
            ratio(&|one| one.a_second),
            ratio(&|one| one.p99.as_secs_f64()),
            middle(&|one| one.idle.rss_kb as f64 / 1024.0),
            middle(&|one| one.busy.rss_kb as f64 / 1024.0),
            middle(&|one| one.busy.threads as f64),
            middle(&|one| one.idle.descriptors as f64),
            middle(&|one| one.told),
        );
    }
    true
}
