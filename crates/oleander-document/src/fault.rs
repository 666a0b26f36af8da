//! Faults of a rejected document.

use std::fmt;

use oleander_core::value;

value! {
    /// One fault, at the place where it stands.
    pub struct Fault {
        /// JSON path, such as `$.services[0].targets[2].address`.
        pub path: String,
        /// What is wrong there.
        pub message: String,
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
