//! oleander-link.
