//! What is fitted to rows, and what is not.

use rockflow_scale::rows::{self, Fit, Form, Found, How, Row, Size};
use std::collections::BTreeMap;
use test_case::test_case;

const SIZES: [f64; 6] = [30.0, 60.0, 120.0, 450.0, 900.0, 1800.0];

fn points(of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|x| (*x, of(*x))).collect()
}

#[test_case(Form::Linear, |x| x)]
#[test_case(Form::Root, f64::sqrt)]
#[test_case(Form::Log2, f64::log2)]
#[test_case(Form::Reciprocal, |x| 1.0 / x)]
#[test_case(Form::Square, |x| x * x)]
#[test_case(Form::UpTo(450), |x| x.min(450.0))]
fn the_form_that_made_them_is_found(form: Form, of: fn(f64) -> f64) {
    let fit = Fit::of(&points(|x| 7.0 + 40.0 * of(x))).expect("enough sizes");
    assert_eq!(fit.form, form);
    assert!((fit.constant - 7.0).abs() < 1e-6 && (fit.slope - 40.0).abs() < 1e-6, "{fit:?}");
    assert!(fit.left < 1e-9);
    assert_eq!((fit.from, fit.to, fit.sizes), (30.0, 1800.0, 6));
}

#[test]
fn what_is_left_over_is_the_largest_residual_over_the_largest_value() {
    // On the line y = x but for the one in the middle of six alike: known by hand for the straight fit.
    let points = [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 4.1), (5.0, 5.0), (6.0, 6.0)];
    let fit = Fit::of(&points).expect("enough sizes");
    let off = points.iter().map(|(x, y)| (y - fit.at(*x)).abs()).fold(0.0, f64::max);
    assert_eq!(fit.form, Form::Linear);
    assert!((fit.left - off / 6.0).abs() < 1e-12);
    assert!(fit.left > 0.0 && fit.left < 0.02);
}

#[test]
fn a_constant_is_a_line_without_slope() {
    let fit = Fit::of(&points(|_| 12.0)).expect("enough sizes");
    assert_eq!((fit.form, fit.slope, fit.constant), (Form::Linear, 0.0, 12.0));
}

#[test_case(0; "none")]
#[test_case(1; "one point")]
#[test_case(3; "three")]
fn too_few_sizes_are_an_error(sizes: usize) {
    let fault = Fit::of(&points(|x| x)[..sizes]).expect_err("too few");
    assert!(fault.to_string().contains(&format!("to {sizes} sizes: 4 or more")), "{fault}");
}

#[test]
fn the_same_size_four_times_is_one_size() {
    let fault = Fit::of(&[(30.0, 1.0), (30.0, 2.0), (30.0, 3.0), (30.0, 4.0)]).expect_err("one size");
    assert!(fault.to_string().contains("to 1 sizes"), "{fault}");
}

#[test_case(0.0, 1.0; "a size of nothing")]
#[test_case(5.0, f64::NAN; "a value that is none")]
fn what_is_no_point_is_an_error(x: f64, y: f64) {
    let mut points = points(|x| x);
    points.push((x, y));
    Fit::of(&points).expect_err("no point");
}

fn row(x: f64, y: Option<f64>, trip: f64) -> Row {
    Row {
        series: "membership".to_string(),
        x: Size { name: "members".to_string(), value: x },
        y: Found { name: "bytes".to_string(), value: y, unit: "B/s".to_string() },
        seed: 1,
        parameters: BTreeMap::from([("round_trip_ms".to_string(), trip)]),
        command: "rockflow-scale slopes".to_string(),
        how: How::Measured,
        note: y.is_none().then(|| "not played".to_string()),
    }
}

#[test]
fn rows_are_read_as_they_were_written() {
    let path = std::env::temp_dir().join(format!("rockflow-scale-rows-{}.jsonl", std::process::id()));
    let held = [row(30.0, Some(2500.25), 4.0), row(1800.0, None, 4.0)];
    rows::write(&path, &held).expect("written");
    assert_eq!(rows::read(&path).expect("read"), held);
    std::fs::write(&path, "{\"series\":\"membership\"}\n").expect("written");
    let fault = rows::read(&path).expect_err("no row");
    assert!(fault.to_string().contains(":1: no row"), "{fault}");
    std::fs::remove_file(&path).expect("removed");
}

const MEASURED: &str = r#"{"series":"membership","x":{"name":"members","value":30.0},"y":{"name":"heap a member","value":23815.466666666667,"unit":"B"},"seed":1,"parameters":{"round_trip_ms":4.0,"rows":49.0},"command":"rockflow-scale slopes --series membership --seed 1 --budget 400","how":"measured"}"#;
const NOT_PLAYED: &str = r#"{"series":"membership-start","x":{"name":"members","value":900.0},"y":{"name":"frames till all agree","value":null,"unit":"frames"},"seed":1,"parameters":{},"command":"rockflow-scale slopes","how":"reckoned","note":"not all agreed"}"#;
const READ: &str = r#"{"series":"run","x":{"name":"members","value":1050.0},"y":{"name":"median","value":1e-9,"unit":"s"},"seed":18446744073709551615,"parameters":{"calm":0.0},"command":"c","how":"read"}"#;

// As in `docs/capacity/rows`: files that lie there are read by every later program.
#[test_case(MEASURED, MEASURED; "measured")]
#[test_case(NOT_PLAYED, NOT_PLAYED; "not played")]
#[test_case(READ, READ; "read from the code")]
fn lines_keep_their_text(line: &str, written: &str) {
    let row: Row = serde_json::from_str(line).expect("a row");
    assert_eq!(serde_json::to_string(&row).expect("a line"), written);
}

#[test]
fn curves_keep_what_was_chosen_apart_and_leave_out_what_was_not_finished() {
    let rows = [
        row(60.0, Some(2.0), 4.0),
        row(30.0, Some(1.0), 4.0),
        row(30.0, Some(9.0), 200.0),
        row(90.0, None, 4.0),
    ];
    let curves: Vec<_> = rows::curves(&rows).into_values().collect();
    assert_eq!(curves, [vec![(30.0, 9.0)], vec![(30.0, 1.0), (60.0, 2.0)]]);
}

#[test_case(0.0, "0")]
#[test_case(0.01264, "0.0126")]
#[test_case(3.456, "3.46")]
#[test_case(99.94, "99.9")]
#[test_case(176_400.4, "176,400")]
#[test_case(-1234.0, "-1,234")]
#[test_case(570e6, "570,000,000")]
fn numbers_are_short(value: f64, text: &str) {
    assert_eq!(rows::short(value), text);
}

#[test]
fn rows_are_put_in_place_of_those_of_the_same_seed_size_and_choices_only() {
    let path = std::env::temp_dir().join(format!("rockflow-scale-replace-{}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let of = |x, seed, trip, y| Row { seed, ..row(x, Some(y), trip) };
    let held = [of(30.0, 1, 4.0, 1.0), of(60.0, 1, 4.0, 2.0), of(30.0, 2, 4.0, 3.0), of(30.0, 1, 200.0, 4.0)];
    rows::replace(&path, &held).expect("written");
    assert_eq!(rows::read(&path).expect("read"), held);
    let other = Row { series: "other".to_string(), ..of(30.0, 1, 4.0, 6.0) };
    rows::replace(&path, &[of(30.0, 1, 4.0, 5.0), other.clone()]).expect("replaced");
    let [_, b, c, d] = held;
    assert_eq!(rows::read(&path).expect("read"), [b, c, d, of(30.0, 1, 4.0, 5.0), other]);
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn of_many_that_put_rows_in_at_once_none_loses_anothers() {
    let path = std::env::temp_dir().join(format!("rockflow-scale-at-once-{}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    std::thread::scope(|scope| {
        for seed in 0..16 {
            let path = &path;
            scope.spawn(move || {
                rows::replace(path, &[Row { seed, ..row(30.0, Some(1.0), 4.0) }]).expect("written")
            });
        }
    });
    let mut seeds: Vec<_> = rows::read(&path).expect("read").iter().map(|row| row.seed).collect();
    seeds.sort();
    assert_eq!(seeds, (0..16).collect::<Vec<_>>());
    std::fs::remove_file(&path).expect("removed");
}
