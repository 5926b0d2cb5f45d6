use serde_json::{Value, json};

/// The prefix cache: whole conversations by key, the least recently used evicted first.
#[derive(Default)]
pub struct Cache {
    /// The most recently used last.
    entries: Vec<(String, u64)>,
    events: Vec<Value>,
}

impl Cache {
    /// Tokens held under a key.
    pub fn held(&self, key: &str) -> u64 {
        self.entries.iter().find(|(held, _)| held == key).map_or(0, |(_, tokens)| *tokens)
    }

    /// Tokens held in all.
    pub fn tokens(&self) -> u64 {
        self.entries.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Holds a conversation, and evicts others until all fit.
    pub fn hold(&mut self, key: &str, tokens: u64, capacity: u64) {
        self.entries.retain(|(held, _)| held != key);
        self.entries.push((key.to_string(), tokens));
        self.note("stored", key);
        while self.tokens() > capacity && self.entries.len() > 1 {
            let (evicted, _) = self.entries.remove(0);
            self.note("removed", &evicted);
        }
    }

    /// Frees a conversation.
    pub fn free(&mut self, key: &str) {
        self.entries.retain(|(held, _)| held != key);
        self.note("removed", key);
    }

    /// All entries.
    pub fn entries(&self) -> Value {
        let entry = |(key, tokens): &(String, u64)| json!({ "key": key, "tokens": tokens });
        self.entries.iter().map(entry).collect()
    }

    /// Events from a number on. Every tenth is missing, as after an overrun.
    pub fn events(&self, from: u64) -> Value {
        let shown = |event: &&Value| {
            let number = event["number"].as_u64().unwrap_or(0);
            number >= from && number % 10 != 9
        };
        self.events.iter().filter(shown).cloned().collect()
    }

    fn note(&mut self, kind: &str, key: &str) {
        let number = self.events.len();
        self.events.push(json!({ "number": number, "kind": kind, "key": key }));
    }
}
