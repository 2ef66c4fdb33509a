//! Prints results, as tables for people or as JSON for scripts.

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

/// A changed value, or one of the values of a periodic message.
pub struct Change {
    /// The path of the value in the schema.
    pub path: String,
    /// The new value; `None` if the value was deleted.
    pub value: Option<Value>,
}

/// The text of a value in a table: strings without quotes, and `-` for null.
fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_string(),
        other => other.to_string(),
    }
}

/// An empty table without borders.
fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header.iter().copied());
    table
}

/// Prints a line. If the reader has closed the pipe, as `head` does, the program exits with 0.
fn print_line(text: &str) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(0);
    }
}

impl Output {
    /// Prints the entries of one list. A table has these columns, with `-` for a missing value.
    pub fn print_list(self, entries: &Value, columns: &[&str]) {
        if self == Output::Json {
            return print_line(&entries.to_string());
        }
        let mut table = new_table(columns);
        for entry in entries.as_array().into_iter().flatten() {
            let cell = |name: &&str| entry.get(*name).map_or("-".to_string(), cell_text);
            table.add_row(columns.iter().map(cell));
        }
        print_line(&table.to_string());
    }

    /// Prints any values. A table has a row for each one.
    pub fn print_values(self, schema: &Schema, values: &Value) {
        if self == Output::Json {
            return print_line(&values.to_string());
        }
        let mut table = new_table(&["path", "value"]);
        match yang_json::read(schema, None, values, NodeScope::ConfigAndState) {
            Ok(fields) => {
                for (path, value) in data::leaves(&fields) {
                    table.add_row([path.to_text(schema), value.to_string()]);
                }
            }
            // Over gNMI, values that do not form a tree of the schema are an object by path: see `Peer::get`.
            Err(_) => {
                for (path, value) in values.as_object().into_iter().flatten() {
                    table.add_row([path.clone(), cell_text(value)]);
                }
            }
        }
        print_line(&table.to_string());
    }

    /// Prints a line for each changed value.
    pub fn print_changes(self, changes: &[Change]) {
        for Change { path, value } in changes {
            match self {
                Output::Json => print_line(&json!({"path": path, "value": value}).to_string()),
                Output::Table => {
                    let value = value.as_ref().map_or("(gone)".into(), cell_text);
                    print_line(&format!("{path}  {value}"));
                }
            }
        }
    }

    /// Prints that a command has succeeded, with the version of its commit if that is known.
    pub fn print_done(self, version: impl Into<Option<u64>>) {
        let version = version.into();
        match (self, version) {
            (Output::Json, version) => print_line(&json!({"done": true, "version": version}).to_string()),
            (Output::Table, Some(version)) => print_line(&format!("done, commit {version}")),
            (Output::Table, None) => print_line("done"),
        }
    }
}
