//! Printed results: tables for people, JSON for scripts.

use clap::ValueEnum;
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use rockflow_yang::{data, json as yang_json, NodeScope, Schema};
use serde_json::{json, Value};
use std::io::Write;

// No doc comments on the variants: they would become help texts.
/// The form in which results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    Table,
    Json,
}

/// A change of one value.
pub struct Change {
    /// The value's path.
    pub path: String,
    /// The new value; `None`: it was deleted.
    pub value: Option<Value>,
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_string(),
        other => other.to_string(),
    }
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header.iter().copied());
    table
}

/// Prints a line. A reader that has closed the pipe, such as `head`, ends the program without an error.
fn print(text: &str) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(0);
    }
}

impl Output {
    /// The entries of one list, with these columns in a table.
    pub fn list(self, entries: &Value, columns: &[&str]) {
        if self == Output::Json {
            return print(&entries.to_string());
        }
        let mut table = table(columns);
        for entry in entries.as_array().into_iter().flatten() {
            let cell = |name: &&str| entry.get(*name).map_or("-".to_string(), plain);
            table.add_row(columns.iter().map(cell));
        }
        print(&table.to_string());
    }

    /// Any values: a line for each in a table.
    pub fn tree(self, schema: &Schema, found: &Value) {
        if self == Output::Json {
            return print(&found.to_string());
        }
        let mut table = table(&["path", "value"]);
        match yang_json::read(schema, None, found, NodeScope::ConfigAndState) {
            Ok(fields) => {
                for (path, value) in data::leaves(&fields) {
                    table.add_row([path.to_text(schema), value.to_string()]);
                }
            }
            // Parts of a tree, by path.
            Err(_) => {
                for (path, value) in found.as_object().into_iter().flatten() {
                    table.add_row([path.clone(), plain(value)]);
                }
            }
        }
        print(&table.to_string());
    }

    /// A line for each changed value.
    pub fn changes(self, changes: &[Change]) {
        for Change { path, value } in changes {
            match self {
                Output::Json => print(&json!({"path": path, "value": value}).to_string()),
                Output::Table => print(&format!("{path}  {}", value.as_ref().map_or("(gone)".into(), plain))),
            }
        }
    }

    /// That a command succeeded, with its commit if it made one.
    pub fn done(self, version: impl Into<Option<u64>>) {
        let version = version.into();
        match (self, version) {
            (Output::Json, version) => print(&json!({"done": true, "version": version}).to_string()),
            (Output::Table, Some(version)) => print(&format!("done, commit {version}")),
            (Output::Table, None) => print("done"),
        }
    }
}
