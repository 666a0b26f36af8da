//! Property tests with a fixed seed, so that every run generates the same cases.

use std::env;

use quickcheck::{Gen, QuickCheck};

const SEED_ENV: &str = "CHECK_SEED";
const DEFAULT_SEED: u64 = 1;
const CASE_SIZE: usize = 100;

/// Runner of property tests, seeded with the environment variable `CHECK_SEED` or a fixed seed.
///
/// The environment variable `QUICKCHECK_TESTS` sets the number of cases.
#[must_use]
pub fn seeded_quickcheck() -> QuickCheck {
    let seed = env::var(SEED_ENV).ok().and_then(|text| text.parse().ok());
    let generator = Gen::from_size_and_seed(CASE_SIZE, seed.unwrap_or(DEFAULT_SEED));
    QuickCheck::new().rng(generator)
}

/// Declares property tests with the syntax of `quickcheck!`, run by [`seeded_quickcheck`].
#[macro_export]
macro_rules! properties {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $ty:ty),* $(,)?) -> $out:ty $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                fn property($($arg: $ty),*) -> $out $body
                $crate::seeded_quickcheck().quickcheck(property as fn($($ty),*) -> $out);
            }
        )*
    };
}
