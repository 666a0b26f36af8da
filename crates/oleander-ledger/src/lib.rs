//! oleander-ledger.
