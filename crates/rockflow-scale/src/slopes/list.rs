//! The endpoint list: the cost of parsing, merging and applying a full list and a single change.

use super::measure::{bytes_of, nanoseconds};
use super::{Bench, Listed};
use rockflow::Dispatcher;
use rockflow::{CellId, EndpointEntry, Event, HostId, ListScope, LocationId, Readiness, Role};
use rockflow_dispatcher::endpoint::{id_from_name, Endpoint};
use rockflow_endpoints::{AdminOverrides, EndpointRegistry};
use rockflow_protocol::discovery::WatchEvent;
use std::time::Duration;

/// Series about the endpoint list.
pub const SERIES: &[Listed] =
    &[("list", "a whole list of hosts and one change: worded, read, merged, told to the decisions", list)];

/// Numbers of hosts.
pub const SIZES: [usize; 6] = [50, 100, 200, 300, 400, 450];
/// Rolls and dispatchers that are held at once to weigh one.
const COPIES: usize = 16;

/// A host as the board words it.
fn instance(n: usize, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"cache-{n:05}\",\"hostPort\":\"10.{}.{}.1:8080\",\"zone\":\"zone-a\",\
         \"machineType\":\"cache\",\"cell\":0,\"lifecycle\":\"{lifecycle}\",\"weight\":8.0,\
         \"startedAtMs\":1764576000123}}",
        n / 256,
        n % 256
    )
}

fn pool(reset: bool, hosts: std::ops::Range<usize>, lifecycle: &str) -> String {
    let hosts: Vec<_> = hosts.map(|n| instance(n, lifecycle)).collect();
    format!("{{\"rev\":42,\"pool\":{{\"reset\":{reset},\"instances\":[{}]}}}}", hosts.join(","))
}

/// Transfers at full pace that a host's link fits.
pub const LINK: f64 = 8.0;

/// Hosts of one location with such links, none of them new.
pub fn listings(hosts: usize, weight: f64) -> Vec<EndpointEntry> {
    let listing = |n| EndpointEntry {
        host: HostId(id_from_name(&format!("cache-{n:05}"))),
        cell: CellId(0),
        location: LocationId(1),
        role: Role::Cache,
        readiness: Readiness::Ready,
        weight,
        started: None,
    };
    (0..hosts).map(listing).collect()
}

fn entries(hosts: usize) -> Vec<Endpoint> {
    let address = |n: usize| ([10, (n / 256) as u8, (n % 256) as u8, 1], 8080).into();
    let named = listings(hosts, LINK).into_iter().enumerate();
    named
        .map(|(n, listing)| Endpoint { name: format!("cache-{n:05}"), address: address(n), entry: listing })
        .collect()
}

fn list(bench: &mut Bench) {
    let now = Duration::from_secs(100);
    for hosts in SIZES {
        let x = ("hosts", hosts as f64);
        let (whole, one) = (pool(true, 0..hosts, "active"), pool(false, 0..1, "leaving"));
        let event = |text: &str| format!("id: 42\ndata: {text}\n\n").len() as f64;
        bench.found(x, ("whole list: bytes", event(&whole), "B"), &[]);
        bench.found(x, ("one change: bytes", event(&one), "B"), &[]);
        let read =
            |text: &str| serde_json::from_str::<WatchEvent>(text).expect("a notice as the board words it");
        bench.found(x, ("whole list: read", nanoseconds(|| read(&whole)), "ns"), &[]);
        bench.found(x, ("one change: read", nanoseconds(|| read(&one)), "ns"), &[]);

        let all = entries(hosts);
        let roll = || {
            let mut roll = EndpointRegistry::new(AdminOverrides::new());
            roll.apply_update(ListScope::Full, all.clone(), now);
            roll
        };
        let (mut held, clone) = (roll(), nanoseconds(|| all.clone()));
        let took = nanoseconds(|| held.apply_update(ListScope::Full, all.clone(), now)) - clone;
        bench.found(x, ("whole list: merged", took, "ns"), &[]);
        let mut changed = all[0].clone();
        let took = nanoseconds(|| {
            let leaves = changed.entry.readiness == Readiness::Ready;
            changed.entry.readiness = if leaves { Readiness::Draining } else { Readiness::Ready };
            held.apply_update(ListScope::Changes, vec![changed.clone()], now)
        });
        bench.found(x, ("one change: merged", took, "ns"), &[]);
        bench.found(x, ("merged list: heap", bytes_of(COPIES, |_| roll()), "B"), &[]);

        let listings = listings(hosts, LINK);
        let told = |_| {
            let mut dispatcher = Dispatcher::new(rockflow_routing_simulation::deployment_config(0, 1), 1);
            dispatcher
                .handle(now, Event::EndpointsListed { scope: ListScope::Full, entries: listings.clone() });
            dispatcher
        };
        let (mut dispatcher, clone) = (told(0), nanoseconds(|| listings.clone()));
        let mut tell =
            |scope, hosts| dispatcher.handle(now, Event::EndpointsListed { scope, entries: hosts });
        let took = nanoseconds(|| tell(ListScope::Full, listings.clone())) - clone;
        bench.found(x, ("whole list: told to the decisions", took, "ns"), &[]);
        let took = nanoseconds(|| tell(ListScope::Changes, vec![listings[0].clone()]));
        bench.found(x, ("one change: told to the decisions", took, "ns"), &[]);
        bench.found(x, ("decisions: heap", bytes_of(COPIES, told), "B"), &[]);
    }
}
