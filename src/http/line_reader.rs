use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads a body line by line as it arrives.
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    max_bytes: usize,
}

impl LineReader {
    /// Creates a reader that stops when more than `max_bytes` have arrived without a line break.
    /// The limit bounds the memory used for a sender that never ends its line.
    pub fn open(body: Incoming, max_bytes: usize) -> LineReader {
        LineReader { body, buffer: BytesMut::new(), max_bytes }
    }

    /// Reads the next line, including its line break. Returns `None` if the body has ended, the
    /// connection failed or the line is too long; bytes after the last line break are not returned.
    /// Cancel safe: received bytes stay in the buffer.
    pub async fn next(&mut self) -> Option<BytesMut> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                return Some(self.buffer.split_to(end + 1));
            }
            if self.buffer.len() > self.max_bytes {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(data.chunk());
            }
        }
    }
}
