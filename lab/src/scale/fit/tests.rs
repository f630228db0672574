//! Fits of points whose line is known.

use super::*;

fn points(of: impl Fn(f64) -> f64) -> Vec<Point> {
    let sizes = [64.0, 256.0, 1024.0, 2048.0];
    sizes
        .map(|size| Point {
            size,
            runs: 1,
            median: of(size),
            range: (of(size), of(size)),
        })
        .to_vec()
}

#[test]
fn a_line_is_found_again_in_each_form_and_without_error() {
    for form in [Form::Linear, Form::Logarithm, Form::Square] {
        let line = line(&points(|size| 7.0 + 0.5 * form.of(size)), form).expect("four sizes");
        assert!(
            (line.intercept - 7.0).abs() < 1e-6 && (line.slope - 0.5).abs() < 1e-9,
            "{form:?}: {line:?}"
        );
        assert!(
            line.slope_error < 1e-6 && line.worst_residual < 1e-6,
            "{form:?}: {line:?}"
        );
    }
}

#[test]
fn a_form_that_does_not_fit_shows_in_the_residual() {
    let line = line(&points(|size| 7.0 + 0.5 * size * size), Form::Logarithm).expect("four sizes");
    assert!(line.worst_residual > 0.5, "{line:?}");
}

#[test]
fn lines_are_read_by_field_and_others_left_out() {
    let order = Order {
        figures: PathBuf::new(),
        size: "members".to_string(),
        figure: "rest.cpu.median".to_string(),
        form: Form::Linear,
        at: 10.0,
        only: vec!["fault=none".to_string()],
    };
    let line = |members: u64, fault: &str, cpu: f64| {
        serde_json::json!({ "members": members, "fault": fault, "rest": { "cpu": { "median": cpu } } })
            .to_string()
    };
    let text = [
        line(4, "none", 2.0),
        line(4, "none", 6.0),
        line(4, "none", 3.0),
        line(4, "zone", 9.0),
    ]
    .join("\n");
    let points = super::points(&text, &order).expect("lines");
    assert_eq!(
        points,
        [Point {
            size: 4.0,
            runs: 3,
            median: 3.0,
            range: (2.0, 6.0)
        }]
    );
}
