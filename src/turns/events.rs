/// Reads a stream of server-sent events as it passes, without holding it up.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    has_field: bool,
    id: Option<Vec<u8>>,
    last_id: Option<Vec<u8>>,
    events: u64,
    output: Option<Vec<u8>>,
}

impl EventReader {
    /// A reader that keeps the data of all events.
    pub fn collecting_output() -> EventReader {
        EventReader { output: Some(Vec::new()), ..EventReader::default() }
    }

    /// Takes the next bytes in; yields how many of them belong to events that are whole.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut whole = 0;
        for (at, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.end_line() => whole = at + 1,
                b'\n' => {}
                _ => self.line.push(*byte),
            }
        }
        whole
    }

    /// Forgets what has come of an event that is not whole.
    pub fn discard_partial_event(&mut self) {
        self.line.clear();
        self.data.clear();
        self.has_data = false;
        self.has_field = false;
        self.id = None;
    }

    /// Whether the line was blank, and so ended an event.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            self.end_event();
            return true;
        }
        if line.starts_with(b":") {
            return false;
        }
        self.has_field = true;
        if let Some(value) = field(line, b"data:") {
            if std::mem::replace(&mut self.has_data, true) {
                self.data.push(b'\n');
            }
            if self.output.is_some() {
                self.data.extend_from_slice(value);
            }
        } else if let Some(value) = field(line, b"id:") {
            self.id = Some(value.to_vec());
        }
        false
    }

    fn end_event(&mut self) {
        if !std::mem::take(&mut self.has_field) {
            return;
        }
        self.events += 1;
        self.last_id = self.id.take().or(self.last_id.take());
        if std::mem::take(&mut self.has_data)
            && let Some(output) = &mut self.output
        {
            output.append(&mut self.data);
            output.push(b'\n');
        }
    }

    /// Events that came whole.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The id of the last event that came whole and had one.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// Whether the stream stands between two events.
    pub fn at_event_boundary(&self) -> bool {
        self.line.is_empty() && !self.has_field
    }

    /// The data of all events, each followed by a line feed; nothing unless it was to be kept.
    pub fn into_output(self) -> Vec<u8> {
        self.output.unwrap_or_default()
    }
}

/// A field's value, without the one space that may stand before it.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
