//! The settings that only a dispatcher with network connections needs: names and connection limits.

use crate::dotted::DottedSettings;
use crate::error::SettingsError;
use std::time::Duration;

/// Names of classes, locations and kinds of hosts, and the limits of connections.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Names of request classes, by index.
    pub class_names: Vec<String>,
    /// Names of locations, by index.
    pub location_names: Vec<String>,
    /// Names of the kinds of hosts, by index.
    pub kind_names: Vec<String>,
    /// The time after which a connection attempt counts as refused by the host.
    pub connect_timeout: Duration,
    /// The time after which a host closes an idle connection.
    pub idle_timeout: Duration,
    /// The time after the announcement of a drain within which a dispatcher has to stop sending requests.
    pub drain_timeout: Duration,
    /// How long after the deadline of a request its response is still accepted.
    pub answer_slack: Duration,
    /// Maximum number of concurrent requests on one connection to a host, at least 1.
    pub max_streams: usize,
    /// Names of the values in a load report, in order. Empty if the responses to health checks have no load report.
    pub load_report_fields: Vec<String>,
}

impl NetworkSettings {
    /// Reads the names and limits from settings.
    ///
    /// # Errors
    /// If a required key is missing or does not parse.
    pub fn parse(settings: &DottedSettings) -> Result<Self, SettingsError> {
        Ok(NetworkSettings {
            class_names: parse_class_names(settings)?,
            location_names: parse_names(settings, "dcs")?,
            kind_names: parse_names(settings, "models")?,
            connect_timeout: settings.duration("limits.dialTimeoutUs")?,
            idle_timeout: settings.duration("limits.connIdleUs")?,
            drain_timeout: settings.duration("rules.stopSendingWithinUs")?,
            answer_slack: settings.duration("rules.answerSlackUs")?,
            max_streams: settings.parse::<usize>("limits.maxStreams")?.max(1),
            load_report_fields: parse_load_report_fields(settings)?,
        })
    }
}

fn parse_class_names(settings: &DottedSettings) -> Result<Vec<String>, SettingsError> {
    let count: usize = settings.parse("grades.count")?;
    let name = |index: usize| settings.text(&format!("grades.{index}.name")).map(str::to_string);
    (0..count).map(name).collect()
}

fn parse_names(settings: &DottedSettings, key: &str) -> Result<Vec<String>, SettingsError> {
    Ok(settings.list(key)?.into_iter().map(str::to_string).collect())
}

fn parse_load_report_fields(settings: &DottedSettings) -> Result<Vec<String>, SettingsError> {
    if settings.text("telemetry.how")? == "silent" {
        Ok(Vec::new())
    } else {
        parse_names(settings, "telemetry.fields")
    }
}
