//! The capacity page (`page`): generates its tables from measured rows, formulas and a target, and writes them between
//! the markers of the page or checks the page against them.

pub mod reckon;
pub mod tables;

use crate::rows;
use crate::target::Target;
use crate::Fault;
use clap::Args;
use reckon::Reckoned;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// What `page` is asked for.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The page whose tables are meant
    #[arg(long, default_value = "docs/CAPACITY.md")]
    pub page: PathBuf,
    /// The size to carry and what is allowed
    #[arg(long, default_value = "docs/capacity/target.toml")]
    pub target: PathBuf,
    /// The folder of measured rows, files of JSON lines
    #[arg(long, default_value = "docs/capacity/rows")]
    pub rows: PathBuf,
    /// What is reckoned from rows and target for each role and moment
    #[arg(long, default_value = "docs/capacity/reckoned.toml")]
    pub reckoned: PathBuf,
    /// Exits with 1 and shows the first difference if the page differs
    #[arg(long, conflicts_with = "write")]
    pub check: bool,
    /// Puts the tables into the page
    #[arg(long)]
    pub write: bool,
}

/// Prints the tables, puts them in, or holds the page against them.
pub fn run(options: &Options) -> Result<(), Fault> {
    let tables = tables(options)?;
    if !options.check && !options.write {
        tables.iter().for_each(|(name, table)| println!("## {name}\n\n{table}"));
        return Ok(());
    }
    let read = |path: &Path| {
        std::fs::read_to_string(path).map_err(|what| Fault(format!("{}: {what}", path.display())))
    };
    let page = read(&options.page)?;
    let name = options.page.display();
    let made = put_in(&page, &tables).map_err(|what| Fault(format!("{name}: {what}")))?;
    if options.write {
        return std::fs::write(&options.page, made).map_err(|what| Fault(format!("{name}: {what}")));
    }
    match first_difference(&page, &made) {
        None => Ok(()),
        Some(what) => Err(Fault(format!("{name} differs from its rows and target; {what}"))),
    }
}

/// All tables by name, from the files that are named.
pub fn tables(options: &Options) -> Result<BTreeMap<String, String>, Fault> {
    let target = Target::read(&options.target)?;
    let rows = rows::read_folder(&options.rows)?;
    let reckoned = Reckoned::read(&options.reckoned, &target, &rows)?;
    Ok(tables::all(&target, &rows, &reckoned))
}

const BEGIN: &str = "<!-- table ";
const END: &str = "<!-- end -->";

/// The page with each table in its place. A marker without a table, or without its end, is a fault, and so is a table
/// that stands nowhere.
pub fn put_in(page: &str, tables: &BTreeMap<String, String>) -> Result<String, Fault> {
    let (mut made, mut inside, mut left) = (String::new(), None, tables.clone());
    for line in page.lines() {
        if let Some(name) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(" -->")) {
            if let Some(open) = inside {
                return Err(Fault(format!("table {open} has no end before table {name}")));
            }
            let table = left.remove(name);
            let table =
                table.ok_or_else(|| Fault(format!("there is no table {name}, or it stands twice")))?;
            made += &format!("{line}\n{table}");
            inside = Some(name);
        } else if line == END && inside.take().is_none() {
            return Err(Fault("an end of a table that did not begin".to_string()));
        }
        if inside.is_none() {
            made += &format!("{line}\n");
        }
    }
    match (inside, left.keys().next()) {
        (Some(open), _) => Err(Fault(format!("table {open} has no end"))),
        (None, Some(name)) => Err(Fault(format!("table {name} stands nowhere"))),
        (None, None) => Ok(made),
    }
}

/// The first line in which two texts differ, in words; none: they are the same.
pub fn first_difference(held: &str, made: &str) -> Option<String> {
    let (mut held, mut made) = (held.lines(), made.lines());
    let mut no = 0;
    loop {
        no += 1;
        match (held.next(), made.next()) {
            (None, None) => return None,
            (held, made) if held == made => {}
            (held, made) => {
                let words = |line: Option<&str>| line.unwrap_or("(nothing)").to_string();
                return Some(format!(
                    "line {no}\n  holds:     {}\n  should be: {}",
                    words(held),
                    words(made)
                ));
            }
        }
    }
}
