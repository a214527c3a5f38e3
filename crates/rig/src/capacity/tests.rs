use super::*;

#[test]
fn a_line_is_fitted_and_what_lies_off_it_is_said() {
    let mut series = Series::new("x", "MB");
    (1..=4).for_each(|n| series.add(n, 5.0 + 2.0 * n as f64));
    let (base, slope, off) = series.fit();
    assert!((base - 5.0).abs() < 1e-9 && (slope - 2.0).abs() < 1e-9 && off < 1e-9);
    series.add(5, 30.0);
    assert!(series.fit().2 > 0.1);
}
