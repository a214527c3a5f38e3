use super::*;

#[test]
fn a_line_is_fitted_and_the_largest_residual_is_returned() {
    let mut series = Series::new("x", "MB");
    (1..=4).for_each(|n| series.add_point(n, 5.0 + 2.0 * n as f64));
    let (base, slope, residual_part) = series.fit_line();
    assert!((base - 5.0).abs() < 1e-9 && (slope - 2.0).abs() < 1e-9 && residual_part < 1e-9);
    series.add_point(5, 30.0);
    assert!(series.fit_line().2 > 0.1);
}
