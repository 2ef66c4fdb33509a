//! Measured rows as JSON lines, and least-squares fits to them.

use crate::Fault;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs::File;
use std::path::Path;

/// Sizes under which nothing is fitted: a slope is never drawn from fewer.
pub const MIN_SIZES: usize = 4;
/// A straight line is taken while no point is further off it than this share of the largest value.
pub const MAX_LINEAR_RESIDUAL: f64 = 0.05;

/// How a figure was come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// On the running program or its parts.
    Measured,
    /// From what the code says.
    Read,
    /// From other figures.
    Reckoned,
}

impl fmt::Display for How {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            How::Measured => "measured",
            How::Read => "read",
            How::Reckoned => "reckoned",
        })
    }
}

/// What was varied: its name and its size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Name of the size.
    pub name: String,
    /// Value of the size.
    pub value: f64,
}

/// What was found; none: it was not played to its end within its budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Found {
    /// Name of the figure.
    pub name: String,
    /// The figure; `None` if the measurement exceeded its time budget.
    pub value: Option<f64>,
    /// Unit of the figure.
    pub unit: String,
}

/// One row: one figure at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Name of the series.
    pub series: String,
    /// The size.
    pub x: Size,
    /// The figure.
    pub y: Found,
    /// Seed of the measurement.
    pub seed: u64,
    /// All else that was chosen, by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, f64>,
    /// What gives this row again.
    pub command: String,
    /// Origin of the figure.
    pub how: How,
    /// What a reader of the figure should know, as what was not played.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// Rows that belong to one curve: the series, the figure, and what else was chosen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Curve {
    /// Name of the series.
    pub series: String,
    /// Name of the figure.
    pub figure: String,
    /// By name, each number as it is written.
    pub parameters: BTreeMap<String, String>,
}

impl fmt::Display for Curve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} / {}", self.series, self.figure)?;
        self.parameters.iter().try_for_each(|(name, value)| write!(f, ", {name} {value}"))
    }
}

impl Row {
    /// The curve to which the row belongs.
    pub fn curve(&self) -> Curve {
        let parameters = self.parameters.iter().map(|(name, value)| (name.clone(), value.to_string()));
        let (series, figure) = (self.series.clone(), self.y.name.clone());
        Curve { series, figure, parameters: parameters.collect() }
    }
}

/// Reads rows, a JSON object a line. A fault names the file and the line.
pub fn read(path: &Path) -> Result<Vec<Row>, Fault> {
    let text = std::fs::read_to_string(path).map_err(|what| format!("{}: {what}", path.display()))?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let row = |(no, line): (usize, &str)| {
        serde_json::from_str(line)
            .map_err(|what| Fault(format!("{}:{}: no row: {what}", path.display(), no + 1)))
    };
    lines.map(row).collect()
}

/// Reads all files of rows of a folder, in the order of their names.
pub fn read_folder(folder: &Path) -> Result<Vec<Row>, Fault> {
    let fault = |what: std::io::Error| Fault(format!("{}: {what}", folder.display()));
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(fault)? {
        let path = entry.map_err(fault)?.path();
        if path.extension().is_some_and(|kind| kind == "jsonl") {
            paths.push(path);
        }
    }
    paths.sort();
    let files: Result<Vec<_>, _> = paths.iter().map(|path| read(path)).collect();
    Ok(files?.into_iter().flatten().collect())
}

/// Writes rows in place of what a file held.
pub fn write(path: &Path, rows: &[Row]) -> Result<(), Fault> {
    let mut text = String::new();
    for row in rows {
        text += &serde_json::to_string(row).map_err(|what| what.to_string())?;
        text.push('\n');
    }
    std::fs::write(path, text).map_err(|what| Fault(format!("{}: {what}", path.display())))
}

/// Puts rows into a file, in place of those of the same series, size, seed and choices; all others stay as they are. Of
/// processes that do so at once one waits for the other.
pub fn replace(path: &Path, rows: &[Row]) -> Result<(), Fault> {
    let fault = |what: std::io::Error| Fault(format!("{}: {what}", path.display()));
    let file = File::options().create(true).append(true).open(path).map_err(fault)?;
    file.lock().map_err(fault)?;
    let played = |row: &Row| {
        let (series, parameters) = (row.series.clone(), row.curve().parameters);
        (series, row.x.name.clone(), row.x.value.to_bits(), row.seed, parameters)
    };
    let anew: BTreeSet<_> = rows.iter().map(played).collect();
    let mut kept = read(path)?;
    kept.retain(|row| !anew.contains(&played(row)));
    kept.extend(rows.iter().cloned());
    write(path, &kept)
}

/// Rows by their curve, each curve by rising size; those without a figure are left out.
pub fn curves(rows: &[Row]) -> BTreeMap<Curve, Vec<(f64, f64)>> {
    let mut curves: BTreeMap<Curve, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows {
        if let Some(found) = row.y.value {
            curves.entry(row.curve()).or_default().push((row.x.value, found));
        }
    }
    curves.values_mut().for_each(|points| points.sort_by(|a, b| a.0.total_cmp(&b.0)));
    curves
}

/// What a figure grows with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Proportional to the size.
    Linear,
    /// Proportional to the square root of the size.
    Root,
    /// Proportional to the binary logarithm of the size.
    Log2,
    /// It nears a bound: a constant less one over the size.
    Reciprocal,
    /// Proportional to the square of the size.
    Square,
    /// Linear up to one of the sizes, and no more from there on.
    UpTo(u32),
}

/// Sizes under which a bend is not looked for: three numbers are fitted then.
const MIN_SIZES_TO_BEND: usize = 6;

impl Form {
    const OTHERS: [Form; 4] = [Form::Root, Form::Log2, Form::Reciprocal, Form::Square];

    /// The forms tried beside a straight line.
    fn others(sizes: &[f64]) -> Vec<Form> {
        let inner = sizes.get(2..sizes.len() - 1).filter(|_| sizes.len() >= MIN_SIZES_TO_BEND);
        let bends = inner.unwrap_or_default().iter().map(|size| Form::UpTo(*size as u32));
        Form::OTHERS.into_iter().chain(bends).collect()
    }

    fn of(self, x: f64) -> f64 {
        match self {
            Form::Linear => x,
            Form::Root => x.sqrt(),
            Form::Log2 => x.log2(),
            Form::Reciprocal => 1.0 / x,
            Form::Square => x * x,
            Form::UpTo(bend) => x.min(f64::from(bend)),
        }
    }

    /// How it grows, in a word.
    pub fn as_str(self) -> &'static str {
        match self {
            Form::Linear => "linear",
            Form::Root => "as the root",
            Form::Log2 => "as the logarithm",
            Form::Reciprocal => "towards a bound",
            Form::Square => "as the square",
            Form::UpTo(_) => "linear, then no more",
        }
    }

    fn symbol(self) -> String {
        match self {
            Form::Linear => "x".to_string(),
            Form::Root => "sqrt x".to_string(),
            Form::Log2 => "log2 x".to_string(),
            Form::Reciprocal => "1/x".to_string(),
            Form::Square => "x^2".to_string(),
            Form::UpTo(bend) => format!("min(x, {bend})"),
        }
    }
}

/// A least-squares fit, y = constant + slope * form(x).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Function of the size.
    pub form: Form,
    /// Intercept.
    pub constant: f64,
    /// Factor of the function.
    pub slope: f64,
    /// The largest residual, as a share of the largest value.
    pub left: f64,
    /// Number of distinct sizes.
    pub sizes: usize,
    /// The smallest and the largest size.
    pub from: f64,
    /// The largest size.
    pub to: f64,
}

impl Fit {
    /// What it gives at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.constant + self.slope * self.form.of(x)
    }

    /// A straight line if it holds, else the form that leaves least. Fewer than four different sizes are an error.
    pub fn of(points: &[(f64, f64)]) -> Result<Fit, Fault> {
        let mut sizes: Vec<_> = points.iter().map(|(x, _)| *x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < MIN_SIZES {
            return Err(Fault(format!(
                "no slope is fitted to {} sizes: {MIN_SIZES} or more are needed",
                sizes.len()
            )));
        }
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite() || *x <= 0.0) {
            return Err(Fault(
                "no slope is fitted: a size is not above 0, or a value is no number".to_string(),
            ));
        }
        let straight = Fit::with(Form::Linear, points, &sizes);
        if straight.left <= MAX_LINEAR_RESIDUAL {
            return Ok(straight);
        }
        let others = Form::others(&sizes).into_iter().map(|form| Fit::with(form, points, &sizes));
        Ok(others.fold(straight, |best, fit| if fit.left < best.left { fit } else { best }))
    }

    fn with(form: Form, points: &[(f64, f64)], sizes: &[f64]) -> Fit {
        let count = points.len() as f64;
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x_mean, y_mean) = (mean(&|(x, _)| form.of(*x)), mean(&|(_, y)| *y));
        let spread: f64 = points.iter().map(|(x, _)| (form.of(*x) - x_mean).powi(2)).sum();
        let along: f64 = points.iter().map(|(x, y)| (form.of(*x) - x_mean) * (y - y_mean)).sum();
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let reach = (form.of(sizes[sizes.len() - 1]) - form.of(sizes[0])).abs();
        // A constant's slope is what rounding leaves of it.
        let slope =
            Some(along / spread).filter(|slope| (slope * reach).abs() > 1e-9 * largest).unwrap_or(0.0);
        let constant = y_mean - slope * x_mean;
        let off = |(x, y): &(f64, f64)| (y - constant - slope * form.of(*x)).abs();
        let furthest = points.iter().map(off).fold(0.0, f64::max);
        let left = if largest > 0.0 { furthest / largest } else { 0.0 };
        let (from, to) = (sizes[0], sizes[sizes.len() - 1]);
        Fit { form, constant, slope, left, sizes: sizes.len(), from, to }
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.slope < 0.0 { '-' } else { '+' };
        let (constant, slope) = (short(self.constant), short(self.slope.abs()));
        write!(f, "{constant} {sign} {slope} * {}", self.form.symbol())
    }
}

/// A number in three figures or so, as a table shows it.
pub fn short(value: f64) -> String {
    let size = value.abs();
    match size {
        0.0 => "0".to_string(),
        _ if size >= 1e12 => {
            format!("{:.1}e{}", value / 10f64.powf(size.log10().floor()), size.log10().floor())
        }
        _ if size >= 100.0 => thousands(value.round()),
        _ if size >= 10.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.001 => {
            let places = (2.0 - size.log10().floor()) as usize;
            format!("{value:.places$}")
        }
        _ => format!("{value:.2e}"),
    }
}

fn thousands(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        format!("-{text}")
    } else {
        text
    }
}
