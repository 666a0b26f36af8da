//! oleander-batch.

fn main() {}
