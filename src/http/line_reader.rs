use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads a body line by line, as it comes.
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    max_bytes: usize,
}

impl LineReader {
    /// A reader of lines of at most `max_bytes`: a sender that never ends its line must not fill
    /// the memory.
    pub fn open(body: Incoming, max_bytes: usize) -> LineReader {
        LineReader { body, buffer: BytesMut::new(), max_bytes }
    }

    /// The next line with its end; `None` if the body ended, was cut, or the line is too long.
    /// Dropped while it waits, it loses nothing.
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
