//! Deterministic answer texts, so that tests can check every byte of an answer.

use std::hash::{DefaultHasher, Hash, Hasher};

const WORDS: [&str; 16] = [
    "plug",
    "vessel",
    "report",
    "border",
    "region",
    "quay",
    "office",
    "arrival",
    "record",
    "container",
    "month",
    "guest",
    "truck",
    "clerk",
    "harbour",
    "summary",
];

/// The token at `index` of the answer to `prompt`, with a trailing space.
pub fn token_at(prompt: &str, index: u64) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    index.hash(&mut hasher);
    let hash = hasher.finish();
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{} ", hash / 16 % 100)
}

/// The whole answer of `tokens` tokens to `prompt`.
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_at(prompt, index)).collect()
}

/// The tokenizer of the fake engine: one token per word.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}
