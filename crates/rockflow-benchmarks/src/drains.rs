//! Drains under a burst: how long after the reply the last new attempt reached the drained cache.

use crate::process::Dispatcher;
use crate::Rows;
use rockflow_management_client::{gnmi, netconf, ClientError};
use rockflow_test_servers::{Load, Site};
use rockflow_yang::Schema;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const CACHES: usize = 4;
const SETTLE: Duration = Duration::from_millis(60);
/// What the operators allow.
const LIMIT: Duration = Duration::from_secs(2);
const AIM: Duration = Duration::from_millis(100);

enum Over {
    Netconf(Box<netconf::Client>),
    Gnmi(gnmi::Client),
}

impl Over {
    async fn drain(&mut self, schema: &Schema, host: &str) -> Result<(), ClientError> {
        match self {
            Over::Netconf(client) => client.act(schema, "drain", &[("host", host)]).await.map(|_| ()),
            Over::Gnmi(client) => {
                let path = format!("/router/marks/mark[host={host}]");
                client.set(schema, &[], &[], &[(&path, json!({}))]).await.map(|_| ())
            }
        }
    }

    async fn undrain(&mut self, schema: &Schema, host: &str) -> Result<(), ClientError> {
        match self {
            Over::Netconf(client) => client.act(schema, "undrain", &[("host", host)]).await.map(|_| ()),
            Over::Gnmi(client) => {
                let path = format!("/router/marks/mark[host={host}]");
                client.set(schema, &[&path], &[], &[]).await.map(|_| ())
            }
        }
    }
}

pub async fn run(program: &Path, drains: usize, clients: usize, rows: &mut Rows) -> bool {
    let schema = Schema::published();
    println!(
        "{drains} drains over each protocol, {clients} clients that ask without a pause, {CACHES} caches"
    );
    println!("| protocol | legs at a drained cache after the reply | last, p50 | p99 | greatest | took, p50 | answered | dismissed | lost | doubled |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut well = true;
    for name in ["netconf", "gnmi"] {
        let site = Site::start(CACHES, 2, Duration::from_millis(2));
        let dispatcher = Dispatcher::start(program, &site, true).await;
        let mut over = match name {
            "netconf" => Over::Netconf(Box::new(dispatcher.netconf().await)),
            _ => Over::Gnmi(dispatcher.gnmi().await),
        };
        let load = Load::start(dispatcher.address, clients, Duration::ZERO, 7);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let (mut last, mut took, mut attempts) = (Vec::new(), Vec::new(), 0);
        for number in 0..drains {
            let host = format!("c{}", 1 + number % CACHES);
            let cache = &site.hosts[&host];
            cache.take_attempts();
            let asked = Instant::now();
            over.drain(&schema, &host).await.expect("a drain");
            let replied = Instant::now();
            took.push(replied - asked);
            tokio::time::sleep(SETTLE).await;
            let late = cache
                .take_attempts()
                .into_iter()
                .filter_map(|attempt| attempt.received_at.checked_duration_since(replied));
            let late: Vec<Duration> = late.collect();
            attempts += late.len();
            let greatest = late.into_iter().max().unwrap_or_default();
            rows.write(&json!({"protocol": name, "drain": number, "last_us": greatest.as_micros() as u64,
                "took_us": (replied - asked).as_micros() as u64}));
            last.push(greatest);
            over.undrain(&schema, &host).await.expect("an undrain");
            tokio::time::sleep(SETTLE / 2).await;
        }
        let summary = load.stop();
        last.sort();
        took.sort();
        let at = |all: &[Duration], share: f64| {
            all[((all.len() as f64 * share).ceil() as usize - 1).min(all.len() - 1)]
        };
        println!(
            "| {name} | {attempts} | {:.1?} | {:.1?} | {:.1?} | {:.1?} | {} | {} | {} | {} |",
            at(&last, 0.5),
            at(&last, 0.99),
            at(&last, 1.0),
            at(&took, 0.5),
            summary.answered(),
            summary.rejected,
            summary.unanswered,
            summary.duplicated
        );
        well &= at(&last, 1.0) < LIMIT
            && at(&last, 0.99) < AIM
            && summary.unanswered == 0
            && summary.duplicated == 0;
    }
    well
}
