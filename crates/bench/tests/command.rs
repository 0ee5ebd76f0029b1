//! Tests of the command line, the comparison with targets and the results.

use jaycrank_bench::command;
use jaycrank_bench::outcome::Comparison;
use jaycrank_bench::outcome::Figures;
use jaycrank_bench::outcome::Measurement;
use jaycrank_bench::outcome::Outcome;
use jaycrank_bench::outcome::Plot;
use jaycrank_bench::outcome::Series;
use jaycrank_bench::report;
use jaycrank_bench::stat;
use jaycrank_bench::stat::Line;

fn error(arguments: &[&str]) -> (String, u8) {
    let error = command::run(arguments.iter().map(Into::into)).unwrap_err();
    (error.to_string(), error.exit_code())
}

/// Guards against invalid arguments that run a scenario or exit with the wrong code.
#[test]
fn invalid_arguments_exit_with_code_2() {
    let hint = "\nTry `jaycrank-bench --help`.";
    assert_eq!(error(&[]), (format!("one of --list, --scenario and --all must be given{hint}"), 2));
    assert_eq!(
        error(&["--all", "--scenario", "straggler"]),
        (format!("--scenario and --all exclude each other{hint}"), 2)
    );
    assert_eq!(
        error(&["--all", "--seed", "x"]),
        (
            format!(
                "--seed: `x` is not accepted; accepted: a number, 0 to 18446744073709551615{hint}"
            ),
            2
        )
    );
    assert_eq!(error(&["--speed"]), (format!("unknown flag --speed{hint}"), 2));
    let (message, code) = error(&["--scenario", "none"]);
    assert!(message.starts_with("--scenario: `none` is not accepted; accepted: straggler, "));
    assert_eq!(code, 2);
}

fn outcome(figures: Figures) -> Outcome {
    let plot = Plot::latency("t", vec![Series { name: "s".into(), points: vec![(0.0, 1.0)] }]);
    let measurement = Measurement { figures, plots: vec![plot], ..Measurement::default() };
    let targets = [("low", Comparison::AtMost, 1.0), ("high", Comparison::AtLeast, 0.5)];
    Outcome::new("trial", 7, &targets, measurement)
}

/// Guards against a target that counts as met although its figure is missing or NaN.
#[test]
fn missing_or_nan_figure_misses_its_target() {
    assert!(outcome(Figures::from([("low", 1.0), ("high", 0.5)])).is_pass());
    assert!(!outcome(Figures::from([("low", 1.1), ("high", 0.5)])).is_pass());
    assert!(!outcome(Figures::from([("low", 1.0)])).is_pass());
    assert!(!outcome(Figures::from([("low", f64::NAN), ("high", 0.5)])).is_pass());
}

/// Guards against a JSON result line that differs from its documented format.
#[test]
fn result_line_has_documented_format() {
    let line = serde_json::to_string(&outcome(Figures::from([("low", 1.0)]))).unwrap();
    let expected = concat!(
        r#"{"scenario":"trial","seed":7,"figures":{"low":1.0},"baseline":{},"#,
        r#""baseline_policy":"","targets":{"high":{"op":">=","value":0.5},"#,
        r#""low":{"op":"<=","value":1.0}},"pass":false}"#,
    );
    assert_eq!(line, expected);
}

/// Guards against a report without plots or without marks at missed targets.
#[test]
fn report_shows_plots_and_missed_targets() {
    let page = report::html(&[outcome(Figures::from([("low", 2.0)]))]).unwrap();
    assert!(page.contains("<svg"));
    assert!(page.contains("(missed)"));
}

/// Guards against extrapolation from too few points, and against wrong slopes or fairness.
#[test]
fn line_fit_needs_three_points_and_statistics_are_exact() {
    assert_eq!(Line::fit(&[(1.0, 3.0), (2.0, 5.0)]), None);
    assert_eq!(Line::fit(&[(1.0, 3.0); 3]), None);
    let line = Line::fit(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]).unwrap();
    assert!((line.value_at(10.0) - 21.0).abs() < 1e-9);
    assert!((stat::jain_index(&[2.0, 2.0]) - 1.0).abs() < 1e-9);
    assert!((stat::jain_index(&[1.0, 0.0]) - 0.5).abs() < 1e-9);
}
