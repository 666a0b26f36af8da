//! Rates of requests as targets state them.

use oleander_routing::{ParseRateError, RequestRate};

#[test]
fn a_rate_is_parsed_or_rejected() {
    let cases =
        [("2.5", 2.5), ("4", 4.0), (" 0.25 ", 0.25), ("0", 0.1), ("1e-9", 0.1), ("1e300", 1e6)];
    for (text, rate) in cases {
        let parsed: RequestRate = text.parse().expect("a rate");
        assert!((parsed.per_second() - rate).abs() < 1e-9, "{text}: {parsed}");
    }
    for text in ["-1", "NaN", "inf", "-inf"] {
        let error = text.parse::<RequestRate>().expect_err(text);
        assert!(matches!(error, ParseRateError::OutOfRange(_)), "{text}: {error}");
    }
    for text in ["", "many", "2,5", "3/s"] {
        let error = text.parse::<RequestRate>().expect_err(text);
        assert!(matches!(error, ParseRateError::NotANumber(_)), "{text}: {error}");
    }
}
