//! Measures drains under load: how long after the reply to a drain the last attempt reaches the drained cache.

use crate::process::{Dispatcher, Management};
use crate::Rows;
use rockflow_management_client::{gnmi, netconf, ClientError};
use rockflow_test_servers::{Load, LoadSummary, Site};
use rockflow_yang::Schema;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

/// The caches of the site, which are drained in turn.
const CACHES: usize = 4;
const PARENTS: usize = 2;
/// The delay after which a host answers an attempt.
const HOST_DELAY: Duration = Duration::from_millis(2);
/// The seed of the clients' random numbers.
const LOAD_SEED: u64 = 7;
/// How long the load runs before the first drain.
const WARM_UP: Duration = Duration::from_millis(500);
/// How long a drained cache is watched for attempts after the reply. The wait after an undrain is half as long.
const SETTLE_TIME: Duration = Duration::from_millis(60);
/// The limit for the time from the reply to the last attempt, for every drain.
const MAX_LAST_ATTEMPT: Duration = Duration::from_secs(2);
/// The limit for the 99th percentile of the time from the reply to the last attempt.
const MAX_P99_LAST_ATTEMPT: Duration = Duration::from_millis(100);

/// A management session that drains and undrains hosts.
enum Session {
    Netconf(Box<netconf::Client>),
    Gnmi(gnmi::Client),
}

impl Session {
    /// Opens a session over `netconf` or `gnmi`.
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

/// The results of the drains over one protocol.
struct DrainFigures {
    /// For each drain, the time from the reply to the last attempt at the drained cache; zero without such an attempt.
    /// Sorted.
    last_attempts: Vec<Duration>,
    /// For each drain, the time from the command to its reply. Sorted.
    reply_times: Vec<Duration>,
    /// The number of attempts that came after the reply, over all drains.
    late_attempts: usize,
    /// The outcomes of the client requests during all drains.
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

/// Measures `drains` drains over each protocol and prints the table. Returns whether all results are within their
/// limits.
pub async fn run(program: &Path, drains: usize, clients: usize, rows: &mut Rows) -> bool {
    println!("{drains} drains over each protocol, {clients} clients without a pause, {CACHES} caches");
    println!("| protocol | attempts at a drained cache after the reply | last attempt, p50 | p99 | max | reply time, p50 | answered | rejected | unanswered | answered twice |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut is_within_limits = true;
    for protocol in ["netconf", "gnmi"] {
        let figures = measure(protocol, program, drains, clients, rows).await;
        figures.print(protocol);
        is_within_limits &= figures.is_within_limits();
    }
    is_within_limits
}

/// Measures the drains over one protocol, in a new site with a new dispatcher.
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
        let delays_after_reply: Vec<Duration> =
            attempts.filter_map(|attempt| attempt.received_at.checked_duration_since(replied_at)).collect();
        late_attempts += delays_after_reply.len();
        let last_attempt = delays_after_reply.into_iter().max().unwrap_or_default();
        rows.write(
            &json!({"protocol": protocol, "drain": number, "last_us": last_attempt.as_micros() as u64,
            "took_us": reply_time.as_micros() as u64}),
        );
        last_attempts.push(last_attempt);
        session.undrain(&schema, &host).await.expect("an undrain");
        tokio::time::sleep(SETTLE_TIME / 2).await;
    }
    let load = load.stop();
    last_attempts.sort();
    reply_times.sort();
    DrainFigures { last_attempts, reply_times, late_attempts, load }
}

/// The smallest value that is not exceeded by the given share (above 0, to 1) of the sorted values.
///
/// # Panics
/// If there are no values.
fn percentile(sorted: &[Duration], share: f64) -> Duration {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted[(rank - 1).min(sorted.len() - 1)]
}
