//! Validation errors of a document.

use std::fmt;

use oleander_core::value;

value! {
    /// A validation error of a document.
    pub struct Fault {
        /// JSON path of the invalid value, such as `$.services[0].targets[2].address`.
        pub path: String,
        /// What is wrong with the value.
        pub message: String,
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
