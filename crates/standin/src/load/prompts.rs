//! Generates prompts with shared prefixes, one per shed or per registry.

use clap::{Args, ValueEnum};
use oleander_core::hash;
use serde_json::{Value, json};

const BYTES_PER_TOKEN: usize = 4;
const WORDS: [&str; 16] = [
    "fan", "shed", "alarm", "inlet", "curtain", "humidity", "setpoint", "relay", "mark", "punch",
    "fineness", "assay", "registry", "piece", "lot", "weight",
];

/// Subject of the shared prefixes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Shape {
    /// One prefix per shed.
    #[default]
    Shed,
    /// One prefix per registry.
    Registry,
}

/// Content and size of the prompts.
#[derive(Debug, Clone, PartialEq, Eq, Args)]
pub struct PromptSettings {
    /// Subject of the shared prefixes.
    #[arg(long, value_enum, default_value_t)]
    pub shape: Shape,
    /// Model or service named in each request.
    #[arg(long, default_value = "alarma-llm")]
    pub model: String,
    /// Number of shared prefixes.
    #[arg(long, default_value_t = 32)]
    pub prefixes: u32,
    /// Length of each shared prefix, in tokens.
    #[arg(long, default_value_t = 256)]
    pub prefix_tokens: usize,
    /// Length of the unique part of each prompt, in tokens.
    #[arg(long, default_value_t = 64)]
    pub prompt_tokens: usize,
    /// Maximum tokens per response.
    #[arg(long, default_value_t = 64)]
    pub max_tokens: u32,
}

impl PromptSettings {
    /// Body of chat completions request `number`, without the `stream` field.
    #[must_use]
    pub fn body(&self, seed: u64, prefix: u32, number: u64, mark: &str) -> Value {
        let prefix = prefix % self.prefixes.max(1);
        let system = pad_with_words(&self.prefix_title(prefix), self.prefix_tokens);
        let user = pad_with_words(&format!("request {seed}-{number} {mark}"), self.prompt_tokens);
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

/// Pads `title` to at least `tokens` with words chosen by a hash of `title`.
fn pad_with_words(title: &str, tokens: usize) -> String {
    let min_bytes = tokens * BYTES_PER_TOKEN;
    let mut text = title.to_owned();
    for position in 0_usize.. {
        if text.len() >= min_bytes {
            break;
        }
        let index = hash::hash_parts(&[title, &position.to_string()]) as usize % WORDS.len();
        text.push(' ');
        text.push_str(WORDS[index]);
    }
    text
}
