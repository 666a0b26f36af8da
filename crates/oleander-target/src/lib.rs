//! oleander-target.
