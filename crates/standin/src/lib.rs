//! standin.
