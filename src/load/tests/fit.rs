use crate::load::{LinePrior, LinearFit};

const PRIOR: LinePrior = LinePrior { intercept: 1.0, slope: 2.0, far_x: 1.0, samples: 2.0 };

// Samples at a single x leave the slope open, and the division by their spread gave infinity.
#[test]
fn the_slope_stays_at_the_prior_while_all_samples_have_the_same_x() {
    let mut fit = LinearFit::open(PRIOR, 100.0);
    assert_eq!(fit.line(), (1.0, 2.0));
    (0..50).for_each(|_| fit.add(0.5, 7.0));
    let (intercept, slope) = fit.line();
    assert!((slope - 2.0).abs() < 0.1 && (fit.value_at(0.5) - 7.0).abs() < 0.3, "{intercept}");
}

// A line that is kept from earlier samples would misjudge a service whose load has changed.
#[test]
fn a_new_line_replaces_the_old_one() {
    let mut fit = LinearFit::open(PRIOR, 50.0);
    let xs = (0..300).map(|index| f64::from(index % 7) / 6.0);
    xs.clone().for_each(|x| fit.add(x, 9.0 + 4.0 * x));
    xs.for_each(|x| fit.add(x, 3.0 + 5.0 * x));
    let (intercept, slope) = fit.line();
    assert!((intercept - 3.0).abs() < 0.2 && (slope - 5.0).abs() < 0.3, "{intercept} {slope}");
}

// Samples in disorder may suggest that more tokens take less time, and that no tokens take negative
// time. An endpoint with more work would then seem to be the faster one.
#[test]
fn neither_coefficient_is_negative() {
    for (at_zero, at_one) in [(9.0, 1.0), (0.0, 1.0)] {
        let mut fit = LinearFit::open(PRIOR, 100.0);
        (0..200).for_each(|_| fit.add(0.8, at_zero));
        (0..200).for_each(|_| fit.add(1.0, at_one));
        let (intercept, slope) = fit.line();
        assert!(intercept >= 0.0 && slope >= 0.0, "{intercept} {slope}");
    }
}
