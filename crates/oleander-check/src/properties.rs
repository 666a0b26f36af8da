//! Properties that see the same cases in every run.

use std::env;

use quickcheck::{Gen, QuickCheck};

const SEED_VARIABLE: &str = "CHECK_SEED";
const DEFAULT_SEED: u64 = 1;
const CASE_SIZE: usize = 100;

/// A tester with the seed of the environment variable `CHECK_SEED`, or a fixed one.
///
/// `QUICKCHECK_TESTS` sets the number of cases.
#[must_use]
pub fn seeded_quickcheck() -> QuickCheck {
    let seed = env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok());
    let cases = Gen::from_size_and_seed(CASE_SIZE, seed.unwrap_or(DEFAULT_SEED));
    QuickCheck::new().rng(cases)
}

/// Declares properties as tests; the same shape as `quickcheck!`, with seeded cases.
#[macro_export]
macro_rules! properties {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $kind:ty),* $(,)?) -> $out:ty $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                fn property($($arg: $kind),*) -> $out $body
                $crate::seeded_quickcheck().quickcheck(property as fn($($kind),*) -> $out);
            }
        )*
    };
}
