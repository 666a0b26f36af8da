//! oleander-entry.

fn main() {}
