/// Incremental parser for a stream of server-sent events. The caller forwards the bytes itself; the
/// parser only tracks event boundaries, ids and, on request, the data.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    has_field: bool,
    id: Option<Vec<u8>>,
    /// The bytes received of an incomplete event.
    partial_bytes: usize,
    last_id: Option<Vec<u8>>,
    events: u64,
    output: Option<Vec<u8>>,
}

impl EventReader {
    /// A reader that collects the data of all events, for [`EventReader::into_output`].
    pub fn collecting_output() -> EventReader {
        EventReader { output: Some(Vec::new()), ..EventReader::default() }
    }

    /// Parses the next bytes and returns how many of them belong to complete events.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut complete_len = 0;
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.end_line() => complete_len = index + 1,
                b'\n' => {}
                _ => self.line.push(*byte),
            }
        }
        self.partial_bytes = match complete_len {
            0 => self.partial_bytes + bytes.len(),
            _ => bytes.len() - complete_len,
        };
        complete_len
    }

    /// Discards the bytes received so far of an incomplete event.
    pub fn discard_partial_event(&mut self) {
        self.line.clear();
        self.data.clear();
        self.has_data = false;
        self.has_field = false;
        self.id = None;
        self.partial_bytes = 0;
    }

    /// Processes a complete line. Returns true for a blank line, which ends an event.
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

    /// Number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// Whether it holds more than `max_bytes` of an incomplete event, or of output.
    pub fn holds_more_than(&self, max_bytes: usize) -> bool {
        let output = self.output.as_ref().map_or(0, Vec::len);
        self.partial_bytes.max(output) > max_bytes
    }

    /// The memory that an incomplete event and the output take.
    pub fn buffered_bytes(&self) -> usize {
        let output = self.output.as_ref().map_or(0, Vec::capacity);
        self.line.capacity() + self.data.capacity() + output
    }

    /// Whether none of the bytes received belongs to an incomplete event.
    pub fn at_event_boundary(&self) -> bool {
        self.line.is_empty() && !self.has_field
    }

    /// The data of all events, each followed by a line feed; empty unless output was collected.
    pub fn into_output(self) -> Vec<u8> {
        self.output.unwrap_or_default()
    }
}

/// The value of a field, without the single optional space before it.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
