//! oleander-host.
