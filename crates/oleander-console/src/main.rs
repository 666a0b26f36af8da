//! oleander-console.

fn main() {}
