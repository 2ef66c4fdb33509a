//! What only a dispatcher on sockets needs of the settings: names, and the limits of connections.

use crate::dotted::Pairs;
use std::time::Duration;

pub struct Wiring {
    /// Names by place: classes, locations, kinds of host.
    pub classes: Vec<String>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    /// A connection that is not up by then counts as refused.
    pub connect_limit: Duration,
    /// A host closes a connection that was idle for this time.
    pub idle_limit: Duration,
    /// From a drain's notice until nothing more may be sent.
    pub drain_limit: Duration,
    /// How late after a request's end its answer still counts.
    pub answer_slack: Duration,
    /// Requests that one connection to a host carries at once.
    pub max_streams: usize,
    /// Values of a load report, in order; empty where probes bring none.
    pub report: Vec<String>,
}

pub fn parse(pairs: &Pairs) -> Result<Wiring, String> {
    let names = |key: &str| Ok::<_, String>(pairs.list(key)?.into_iter().map(str::to_string).collect());
    let count: usize = pairs.parsed("grades.count")?;
    let class = |place: usize| pairs.text(&format!("grades.{place}.name")).map(str::to_string);
    Ok(Wiring {
        classes: (0..count).map(class).collect::<Result<_, _>>()?,
        locations: names("dcs")?,
        kinds: names("models")?,
        connect_limit: pairs.span("limits.dialTimeoutUs")?,
        idle_limit: pairs.span("limits.connIdleUs")?,
        drain_limit: pairs.span("rules.stopSendingWithinUs")?,
        answer_slack: pairs.span("rules.answerSlackUs")?,
        max_streams: pairs.parsed::<usize>("limits.maxStreams")?.max(1),
        report: if pairs.text("telemetry.how")? == "silent" {
            Vec::new()
        } else {
            names("telemetry.fields")?
        },
    })
}
