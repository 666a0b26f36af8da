//! oleanderctl.

fn main() {}
