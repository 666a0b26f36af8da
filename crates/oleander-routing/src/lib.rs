//! oleander-routing.
