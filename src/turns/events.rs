/// Reads a stream of server-sent events as it passes, without holding it up.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    has_field: bool,
    events: u64,
    output: Vec<u8>,
}

impl EventReader {
    /// Takes the next bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                _ => self.line.push(*byte),
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            return self.end_event();
        }
        if line.starts_with(b":") {
            return;
        }
        self.has_field = true;
        if let Some(value) = line.strip_prefix(b"data:") {
            if std::mem::replace(&mut self.has_data, true) {
                self.data.push(b'\n');
            }
            self.data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
        }
    }

    fn end_event(&mut self) {
        if !std::mem::take(&mut self.has_field) {
            return;
        }
        self.events += 1;
        if std::mem::take(&mut self.has_data) {
            self.output.append(&mut self.data);
            self.output.push(b'\n');
        }
    }

    /// Events that came whole.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the stream stands between two events.
    pub fn between_events(&self) -> bool {
        self.line.is_empty() && !self.has_field
    }

    /// The data of all events, each followed by a line feed.
    pub fn into_output(self) -> Vec<u8> {
        self.output
    }
}
