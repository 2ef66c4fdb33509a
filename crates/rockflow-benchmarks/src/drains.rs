//! Drains under load: how long after the reply the last new attempt reaches the drained cache.

use crate::process::{Dispatcher, Management};
use crate::Rows;
use rockflow_management_client::{gnmi, netconf, ClientError};
use rockflow_test_servers::{Load, LoadSummary, Site};
use rockflow_yang::Schema;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const CACHES: usize = 4;
const PARENTS: usize = 2;
/// How long a host takes to answer.
const HOST_DELAY: Duration = Duration::from_millis(2);
const LOAD_SEED: u64 = 7;
/// Load that runs before the first drain.
const WARM_UP: Duration = Duration::from_millis(500);
/// How long attempts are awaited after a drain.
const SETTLE_TIME: Duration = Duration::from_millis(60);
/// The longest time from the reply to the last attempt that is allowed at all.
const MAX_LAST_ATTEMPT: Duration = Duration::from_secs(2);
/// The longest that is allowed for 99 of 100 drains.
const MAX_P99_LAST_ATTEMPT: Duration = Duration::from_millis(100);

/// A management session, over which hosts are drained.
enum Session {
    Netconf(Box<netconf::Client>),
    Gnmi(gnmi::Client),
}

impl Session {
    async fn open(protocol: &str, dispatcher: &Dispatcher) -> Session {
        match protocol {
            "netconf" => Session::Netconf(Box::new(dispatcher.netconf().await)),
            _ => Session::Gnmi(dispatcher.gnmi().await),
        }
    }

    async fn drain(&mut self, schema: &Schema, host: &str) -> Result<(), ClientError> {
        match self {
            Session::Netconf(client) => client.act(schema, "drain", &[("host", host)]).await.map(|_| ()),
            Session::Gnmi(client) => {
                let path = format!("/router/marks/mark[host={host}]");
                client.set(schema, &[], &[], &[(&path, json!({}))]).await.map(|_| ())
            }
        }
    }

    async fn undrain(&mut self, schema: &Schema, host: &str) -> Result<(), ClientError> {
        match self {
            Session::Netconf(client) => client.act(schema, "undrain", &[("host", host)]).await.map(|_| ()),
            Session::Gnmi(client) => {
                let path = format!("/router/marks/mark[host={host}]");
                client.set(schema, &[&path], &[], &[]).await.map(|_| ())
            }
        }
    }
}

/// What the drains over one protocol showed.
struct DrainFigures {
    /// For each drain, how long after the reply the last attempt came; sorted.
    last_attempts: Vec<Duration>,
    /// For each drain, how long the reply took; sorted.
    reply_times: Vec<Duration>,
    /// Attempts that came after the reply, over all drains.
    late_attempts: usize,
    load: LoadSummary,
}

impl DrainFigures {
    fn print(&self, protocol: &str) {
        println!(
            "| {protocol} | {} | {:.1?} | {:.1?} | {:.1?} | {:.1?} | {} | {} | {} | {} |",
            self.late_attempts,
            percentile(&self.last_attempts, 0.5),
            percentile(&self.last_attempts, 0.99),
            percentile(&self.last_attempts, 1.0),
            percentile(&self.reply_times, 0.5),
            self.load.answered(),
            self.load.rejected,
            self.load.unanswered,
            self.load.duplicated
        );
    }

    fn is_within_limits(&self) -> bool {
        percentile(&self.last_attempts, 1.0) < MAX_LAST_ATTEMPT
            && percentile(&self.last_attempts, 0.99) < MAX_P99_LAST_ATTEMPT
            && self.load.unanswered == 0
            && self.load.duplicated == 0
    }
}

/// Measures so many drains over each protocol and prints the table. Returns whether all figures are within their limits.
pub async fn run(program: &Path, drains: usize, clients: usize, rows: &mut Rows) -> bool {
    println!(
        "{drains} drains over each protocol, {clients} clients that ask without a pause, {CACHES} caches"
    );
    println!("| protocol | legs at a drained cache after the reply | last, p50 | p99 | greatest | took, p50 | answered | dismissed | lost | doubled |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut is_within_limits = true;
    for protocol in ["netconf", "gnmi"] {
        let figures = measure(protocol, program, drains, clients, rows).await;
        figures.print(protocol);
        is_within_limits &= figures.is_within_limits();
    }
    is_within_limits
}

async fn measure(
    protocol: &str,
    program: &Path,
    drains: usize,
    clients: usize,
    rows: &mut Rows,
) -> DrainFigures {
    let schema = Schema::published();
    let site = Site::start(CACHES, PARENTS, HOST_DELAY);
    let dispatcher = Dispatcher::start(program, &site, Management::On).await;
    let mut session = Session::open(protocol, &dispatcher).await;
    let load = Load::start(dispatcher.address, clients, Duration::ZERO, LOAD_SEED);
    tokio::time::sleep(WARM_UP).await;
    let (mut last_attempts, mut reply_times, mut late_attempts) = (Vec::new(), Vec::new(), 0);
    for number in 0..drains {
        let host = format!("c{}", 1 + number % CACHES);
        let cache = &site.hosts[&host];
        cache.take_attempts();
        let sent_at = Instant::now();
        session.drain(&schema, &host).await.expect("a drain");
        let replied_at = Instant::now();
        let reply_time = replied_at - sent_at;
        reply_times.push(reply_time);
        tokio::time::sleep(SETTLE_TIME).await;
        let attempts = cache.take_attempts().into_iter();
        let late: Vec<Duration> =
            attempts.filter_map(|attempt| attempt.received_at.checked_duration_since(replied_at)).collect();
        late_attempts += late.len();
        let last = late.into_iter().max().unwrap_or_default();
        rows.write(&json!({"protocol": protocol, "drain": number, "last_us": last.as_micros() as u64,
            "took_us": reply_time.as_micros() as u64}));
        last_attempts.push(last);
        session.undrain(&schema, &host).await.expect("an undrain");
        tokio::time::sleep(SETTLE_TIME / 2).await;
    }
    let load = load.stop();
    last_attempts.sort();
    reply_times.sort();
    DrainFigures { last_attempts, reply_times, late_attempts, load }
}

/// The value within which the given share (0 to 1) of sorted values lies.
fn percentile(sorted: &[Duration], share: f64) -> Duration {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted[(rank - 1).min(sorted.len() - 1)]
}
