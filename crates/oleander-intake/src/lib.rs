//! Callers' interface of files and batch jobs.
