//! oleander-jobs.
