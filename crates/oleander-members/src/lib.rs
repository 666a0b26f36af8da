//! oleander-members.
