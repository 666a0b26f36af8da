//! Settings of the engine stand-in.

use clap::Args;

/// Settings of the engine stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Args)]
pub struct Options {
    /// Maximum number of running sequences.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// Prefill time of each prompt token that is not cached, in microseconds.
    #[arg(long, default_value_t = 20)]
    pub prefill_us_per_token: u64,
    /// Base time of a step, in microseconds.
    #[arg(long, default_value_t = 5_000)]
    pub step_base_us: u64,
    /// Time that each running sequence adds to a step, in microseconds.
    #[arg(long, default_value_t = 200)]
    pub step_per_seq_us: u64,
    /// Size of the KV cache, in tokens.
    #[arg(long, default_value_t = 65_536)]
    pub kv_tokens: u64,
    /// Initial lag of the load report, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// Initial fault: a prompt that contains this text ends the engine; empty for none.
    #[arg(long, default_value = "")]
    pub die_on: String,
    /// Delay of cache events, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub cache_lag_ms: u64,
    /// One of this number of cache events is omitted; 0 for none.
    #[arg(long, default_value_t = 50)]
    pub cache_gap: u64,
    /// Initially loaded model; may be repeated.
    #[arg(long = "model")]
    pub models: Vec<String>,
    /// Initial role.
    #[arg(long, default_value = "mixed")]
    pub role: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            prefill_us_per_token: 20,
            step_base_us: 5_000,
            step_per_seq_us: 200,
            kv_tokens: 65_536,
            load_lag_ms: 0,
            die_on: String::new(),
            cache_lag_ms: 200,
            cache_gap: 50,
            models: Vec::new(),
            role: "mixed".to_owned(),
        }
    }
}
