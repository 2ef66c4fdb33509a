//! The tables of the capacity page as Markdown. Values that depend on the machine appear as ratios only.

use super::reckon::{Design, Need, Quantity, Reckoned, Role, Runs, Scenario, Slope};
use crate::rows::{short, Row};
use crate::target::Target;
use std::collections::{BTreeMap, BTreeSet};

/// All tables, by the names under which they stand in the page.
pub fn all(target: &Target, rows: &[Row], reckoned: &Reckoned) -> BTreeMap<String, String> {
    let mut tables = BTreeMap::from([
        ("target".to_string(), figures(target)),
        ("allowed".to_string(), allowed(reckoned)),
        ("commands".to_string(), commands(reckoned)),
        ("slopes".to_string(), slopes(reckoned)),
        ("unfinished".to_string(), unfinished(rows)),
        ("runs".to_string(), runs(reckoned)),
        ("figures of the runs".to_string(), figures_of_runs(reckoned)),
        ("given".to_string(), given(reckoned)),
    ]);
    for role in Role::ALL {
        tables.insert(role.as_str().to_string(), of_role(*role, reckoned));
    }
    tables
}

fn table(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let head: Vec<_> = head.iter().map(|cell| cell.to_string()).collect();
    let rule = vec!["---".to_string(); head.len()];
    let rows = rows.into_iter().map(|cells| line(&cells));
    line(&head) + &line(&rule) + &rows.collect::<String>()
}

fn figures(target: &Target) -> String {
    table(&["figure", "target"], target.figures().map(|(name, figure)| vec![words(name), short(figure)]))
}

fn words(name: &str) -> String {
    name.replace('_', " ")
}

/// Times of this machine, which the page shows as ratios only.
fn depends_on_machine(unit: &str) -> bool {
    unit.starts_with("ns")
}

fn allowed(reckoned: &Reckoned) -> String {
    let mut needs: Vec<_> = reckoned.needs.iter().filter(|need| need.allowed.is_some()).collect();
    needs.sort_by(|a, b| over(b).total_cmp(&over(a)));
    let commands = numbered(reckoned);
    let row = |need: &Need| {
        let numbers: Vec<_> =
            need.commands.iter().map(|command| commands[command.as_str()].to_string()).collect();
        vec![
            need.role.as_str().to_string(),
            need.moment.as_str().to_string(),
            need.design.as_str().to_string(),
            need.quantity.as_str().to_string(),
            needed(need),
            need.allowed.map(short).unwrap_or_default(),
            match (need.ratio(), &need.formula) {
                (Some(ratio), _) if ratio > 1.0 => format!("**{}**", short(ratio)),
                (Some(ratio), _) => short(ratio),
                (None, None) => "**barred**".to_string(),
                (None, Some(_)) => "not measured".to_string(),
            },
            how(need),
            need.mechanism.clone(),
            numbers.join(", "),
        ]
    };
    let head = [
        "role",
        "moment",
        "design",
        "quantity",
        "needed",
        "allowed",
        "needed over allowed",
        "how",
        "mechanism",
        "command",
    ];
    table(&head, needs.into_iter().map(row))
}

fn how(need: &Need) -> String {
    if need.formula.is_some() && need.needed.is_none() {
        return "-".to_string();
    }
    need.runs.as_ref().map_or(need.how.to_string(), |runs| format!("{}, {runs}", need.how))
}

/// Commands that gave slopes and runs, numbered in their order.
fn numbered(reckoned: &Reckoned) -> BTreeMap<&str, usize> {
    let slopes = reckoned.slopes.iter().map(|slope| &slope.command);
    let runs = reckoned.runs.iter().flat_map(|runs| &runs.commands);
    let commands: BTreeSet<_> = slopes.chain(runs).map(String::as_str).collect();
    commands.into_iter().zip(1..).collect()
}

fn commands(reckoned: &Reckoned) -> String {
    let row = |(command, number): (&str, usize)| vec![number.to_string(), format!("`{command}`")];
    table(&["number", "command"], numbered(reckoned).into_iter().map(row))
}

fn needed(need: &Need) -> String {
    match (&need.formula, need.needed) {
        (None, _) => "nothing carries it".to_string(),
        (Some(_), None) => "not measured".to_string(),
        (Some(_), Some(needed)) => short(needed),
    }
}

fn with_how(need: &Need) -> String {
    match (&need.formula, need.needed) {
        (Some(_), None) => needed(need),
        _ => format!("{} ({})", needed(need), need.how),
    }
}

/// What is past its allowance first; what nothing carries is past all.
fn over(need: &Need) -> f64 {
    if need.formula.is_none() {
        f64::INFINITY
    } else {
        need.ratio().unwrap_or(-1.0)
    }
}

/// One line a moment and design, one column a quantity that is named for the role.
fn of_role(role: Role, reckoned: &Reckoned) -> String {
    let needs: Vec<_> = reckoned.needs.iter().filter(|need| need.role == role).collect();
    let named = |quantity: &&Quantity| needs.iter().any(|need| need.quantity == **quantity);
    let columns: Vec<_> = Quantity::ALL.iter().filter(named).collect();
    let words = columns.iter().map(|quantity| quantity.as_str());
    let head: Vec<_> = ["moment", "design"].into_iter().chain(words).chain(["mechanism"]).collect();
    let mut lines = Vec::new();
    for moment in Scenario::ALL {
        for design in Design::ALL {
            let of = |need: &&&Need| need.moment == *moment && need.design == *design;
            let here: Vec<_> = needs.iter().filter(of).collect();
            if here.is_empty() {
                continue;
            }
            let mut line = vec![moment.as_str().to_string(), design.as_str().to_string()];
            for quantity in &columns {
                let found = here.iter().find(|need| need.quantity == **quantity);
                line.push(found.map_or("-".to_string(), |need| with_how(need)));
            }
            let mechanism = |need: &&&Need| match &need.runs {
                Some(runs) => format!("{} ({runs})", need.mechanism),
                None => need.mechanism.clone(),
            };
            let mechanisms: BTreeSet<_> = here.iter().map(mechanism).collect();
            line.push(mechanisms.into_iter().collect::<Vec<_>>().join("; "));
            lines.push(line);
        }
    }
    table(&head, lines)
}

fn slopes(reckoned: &Reckoned) -> String {
    let row = |slope: &Slope| {
        let machine = depends_on_machine(&slope.unit);
        let value = if machine { "-".to_string() } else { format!("{} {}", short(slope.value), slope.unit) };
        let (by, shown, grows, left) = match &slope.fit {
            None => (slope.x.clone(), "-".to_string(), "run at its own size".to_string(), "-".to_string()),
            Some(fit) => {
                let (from, to) = (short(fit.from), short(fit.to));
                let shown = match machine {
                    true => format!("{} times from the first size to the last", short(slope.grown)),
                    false => format!("{fit} {}", slope.unit),
                };
                let by = format!("{}, {from} to {to} ({} sizes)", slope.x, fit.sizes);
                (by, shown, fit.form.as_str().to_string(), format!("{:.1}%", 100.0 * fit.left))
            }
        };
        let taken = format!("{value} at {}", short(slope.at));
        vec![
            slope.name.clone(),
            slope.curve.to_string(),
            by,
            shown,
            grows,
            left,
            taken,
            slope.how.to_string(),
        ]
    };
    let head = ["name", "curve", "by", "fit", "grows", "left over", "taken", "how"];
    table(&head, reckoned.slopes.iter().map(row))
}

/// What was played at the size that counts, a line a moment.
fn runs(reckoned: &Reckoned) -> String {
    let commands = numbered(reckoned);
    let row = |runs: &Runs| {
        let numbers: Vec<_> =
            runs.commands.iter().map(|command| commands[command.as_str()].to_string()).collect();
        vec![
            runs.moment.as_str().to_string(),
            format!("{} {}, run at its own size", short(runs.size), runs.x),
            runs.seeds.iter().map(u64::to_string).collect::<Vec<_>>().join(", "),
            runs.reduced_summary().unwrap_or("-".to_string()),
            numbers.join(", "),
        ]
    };
    table(&["moment", "at", "seeds", "reduced", "command"], reckoned.runs.iter().map(row))
}

/// All figures of the runs, a column a moment; behind each its share of what is allowed.
fn figures_of_runs(reckoned: &Reckoned) -> String {
    let mut names = Vec::new();
    for figure in reckoned.runs.iter().flat_map(|runs| &runs.figures) {
        if !names.contains(&(&figure.name, &figure.unit)) {
            names.push((&figure.name, &figure.unit));
        }
    }
    let cell = |runs: &Runs, name: &str| {
        let Some(figure) = runs.figure(name) else { return "-".to_string() };
        let ratio = reckoned.allowed.get(name).map(|allowed| figure.worst / allowed);
        let over = match ratio {
            Some(ratio) if ratio > 1.0 => format!(" (**{}**)", short(ratio)),
            Some(ratio) => format!(" ({})", short(ratio)),
            None => String::new(),
        };
        format!("{}{over}", short(figure.worst))
    };
    let row = |(name, unit): (&String, &String)| {
        let cells = reckoned.runs.iter().map(|runs| cell(runs, name));
        [format!("{name}, {unit}")].into_iter().chain(cells).collect()
    };
    let moments = reckoned.runs.iter().map(|runs| runs.moment.as_str());
    let head: Vec<_> = ["figure"].into_iter().chain(moments).collect();
    table(&head, names.into_iter().map(row))
}

fn unfinished(rows: &[Row]) -> String {
    let open = rows.iter().filter(|row| row.y.value.is_none());
    let row = |row: &Row| {
        let note = row.note.clone().unwrap_or_default();
        vec![row.curve().to_string(), format!("{} {}", short(row.x.value), row.x.name), note]
    };
    table(&["curve", "at", "what was played"], open.map(row))
}

fn given(reckoned: &Reckoned) -> String {
    let row = |given: &super::reckon::Assumption| {
        vec![given.name.clone(), short(given.value), given.how.to_string(), given.from.clone()]
    };
    table(&["name", "value", "how", "from"], reckoned.given.iter().map(row))
}
