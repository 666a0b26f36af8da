//! Prompts with shared prefixes: one a shed, or one a registry.

use clap::{Args, ValueEnum};
use oleander_core::hash;
use serde_json::{Value, json};

const BYTES_PER_TOKEN: usize = 4;
const WORDS: [&str; 16] = [
    "fan", "shed", "alarm", "inlet", "curtain", "humidity", "setpoint", "relay", "mark", "punch",
    "fineness", "assay", "registry", "piece", "lot", "weight",
];

/// What the shared prefixes stand for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Shape {
    /// One prefix a shed.
    #[default]
    Shed,
    /// One prefix a registry.
    Registry,
}

/// Size and variety of the prompts.
#[derive(Debug, Clone, PartialEq, Eq, Args)]
pub struct PromptSettings {
    /// What the shared prefixes stand for.
    #[arg(long, value_enum, default_value_t)]
    pub shape: Shape,
    /// Model or service that is asked.
    #[arg(long, default_value = "alarma-llm")]
    pub model: String,
    /// Number of shared prefixes.
    #[arg(long, default_value_t = 32)]
    pub prefixes: u32,
    /// Length of each shared prefix, in tokens.
    #[arg(long, default_value_t = 256)]
    pub prefix_tokens: usize,
    /// Length of the part that differs, in tokens.
    #[arg(long, default_value_t = 64)]
    pub prompt_tokens: usize,
    /// Most tokens of an answer.
    #[arg(long, default_value_t = 64)]
    pub max_tokens: u32,
}

impl PromptSettings {
    /// The chat/completions body of request `number`, without `stream`.
    #[must_use]
    pub fn body(&self, seed: u64, prefix: u32, number: u64, mark: &str) -> Value {
        let prefix = prefix % self.prefixes.max(1);
        let system = filled(&self.prefix_title(prefix), self.prefix_tokens);
        let user = filled(&format!("request {seed}-{number} {mark}"), self.prompt_tokens);
        let messages = json!([
            { "role": "system", "content": system },
            { "role": "user", "content": user },
        ]);
        json!({ "model": self.model, "messages": messages, "max_tokens": self.max_tokens })
    }

    fn prefix_title(&self, prefix: u32) -> String {
        match self.shape {
            Shape::Shed => format!("Explain ventilation alarms of shed {prefix}:"),
            Shape::Registry => format!("Check marks against registry {prefix}:"),
        }
    }
}

/// Extends `title` by words drawn from it to a length in tokens.
fn filled(title: &str, tokens: usize) -> String {
    let bound = tokens * BYTES_PER_TOKEN;
    let mut text = title.to_owned();
    for position in 0_usize.. {
        if text.len() >= bound {
            break;
        }
        let pick = hash::hash_parts(&[title, &position.to_string()]) as usize % WORDS.len();
        text.push(' ');
        text.push_str(WORDS[pick]);
    }
    text
}
