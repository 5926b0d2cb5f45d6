use serde_json::{Value, json};

/// Prefix cache of whole conversations by key, with LRU eviction.
#[derive(Default)]
pub struct Cache {
    /// Key and token count, most recently used last.
    entries: Vec<(String, u64)>,
    events: Vec<Value>,
}

impl Cache {
    /// Number of tokens cached under `key`.
    pub fn cached_tokens(&self, key: &str) -> u64 {
        self.entries
            .iter()
            .find(|(cached_key, _)| cached_key == key)
            .map_or(0, |(_, tokens)| *tokens)
    }

    /// Total number of cached tokens.
    pub fn tokens(&self) -> u64 {
        self.entries.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Stores a conversation and evicts the least recently used ones until all fit into `capacity`.
    /// A conversation that exceeds the capacity by itself stays.
    pub fn insert(&mut self, key: &str, tokens: u64, capacity: u64) {
        self.entries.retain(|(cached_key, _)| cached_key != key);
        self.entries.push((key.to_string(), tokens));
        self.record_event("stored", key);
        while self.tokens() > capacity && self.entries.len() > 1 {
            let (evicted, _) = self.entries.remove(0);
            self.record_event("removed", &evicted);
        }
    }

    /// Removes a conversation.
    pub fn free(&mut self, key: &str) {
        self.entries.retain(|(cached_key, _)| cached_key != key);
        self.record_event("removed", key);
    }

    /// Lists all entries as JSON.
    pub fn entries(&self) -> Value {
        let entry = |(key, tokens): &(String, u64)| json!({ "key": key, "tokens": tokens });
        self.entries.iter().map(entry).collect()
    }

    /// Events numbered `from` and higher. Every tenth is missing, as after a buffer overrun.
    pub fn events(&self, from: u64) -> Value {
        let listed = |event: &&Value| {
            let number = event["number"].as_u64().unwrap_or(0);
            number >= from && number % 10 != 9
        };
        self.events.iter().filter(listed).cloned().collect()
    }

    fn record_event(&mut self, kind: &str, key: &str) {
        let number = self.events.len();
        self.events.push(json!({ "number": number, "kind": kind, "key": key }));
    }
}
