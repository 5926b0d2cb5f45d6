use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use httparse::{EMPTY_HEADER, Status, parse_chunk_size};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::{Answer, Reading, SLOW_READ_PAUSE, connect};

/// Size of the pieces in which a response is read.
const READ_BYTES: usize = 64 << 10;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;

/// How a request ended, as its caller's connection shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With a whole response.
    Answered,
    /// The gateway closed the connection after it had read all that was sent.
    Closed,
    /// The connection was reset: something that was sent was not read.
    Reset,
    /// There was no whole response in time, and the caller closed the connection.
    GaveUp,
    /// What arrived is no response.
    Garbled,
}

/// How the end of a response's body is found.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The head of a response.
#[derive(Debug)]
struct Head {
    bytes: usize,
    status: u16,
    framing: Framing,
    request: Option<String>,
    closes: bool,
}

/// A response, and what else its caller saw.
#[derive(Debug, Default)]
pub(crate) struct Received {
    pub(crate) answer: Answer,
    /// The request ID in its head.
    pub(crate) request: Option<String>,
    /// Whether the connection can be used for another request.
    pub(crate) reusable: bool,
}

/// A caller's connection, on which requests are written and responses are read by hand. It tells
/// a connection that was closed from one that was reset.
pub(crate) struct Connection {
    stream: TcpStream,
    unread: BytesMut,
    reading: Reading,
}

impl Connection {
    /// Connects to a gateway.
    pub(crate) async fn open(entry: SocketAddr, reading: Reading) -> io::Result<Connection> {
        let stream = connect(entry, reading).await?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, unread: BytesMut::new(), reading })
    }

    /// Writes the pieces of a request with a pause after each but the last. Returns when the last byte
    /// was sent.
    pub(crate) async fn send(
        &mut self,
        pieces: &[Vec<u8>],
        pause: Duration,
    ) -> io::Result<Instant> {
        for (at, piece) in pieces.iter().enumerate() {
            if at > 0 {
                tokio::time::sleep(pause).await;
            }
            self.stream.write_all(piece).await?;
        }
        Ok(Instant::now())
    }

    /// Reads a response into `received`, until its end or that of the connection.
    pub(crate) async fn receive(&mut self, received: &mut Received) -> Ending {
        self.receive_parts(received).await.err().unwrap_or(Ending::Answered)
    }

    async fn receive_parts(&mut self, received: &mut Received) -> Result<(), Ending> {
        let head = loop {
            match parse_head(&self.unread) {
                Ok(Some(head)) => break head,
                Ok(None) => self.fill().await?,
                Err(_) => return Err(Ending::Garbled),
            }
        };
        let _head = self.unread.split_to(head.bytes);
        received.answer.status = Some(head.status);
        received.request = head.request;
        let body = &mut received.answer.body;
        match head.framing {
            Framing::Length(length) => self.take(length, body).await?,
            Framing::Chunked => self.take_chunks(body).await?,
            Framing::UntilClose => {
                body.extend(self.unread.split());
                loop {
                    match self.fill().await {
                        Ok(()) => body.extend(self.unread.split()),
                        Err(Ending::Closed) => break,
                        Err(ending) => return Err(ending),
                    }
                }
            }
        }
        received.answer.whole = true;
        received.reusable = !head.closes && self.unread.is_empty();
        Ok(())
    }

    async fn take_chunks(&mut self, body: &mut Vec<u8>) -> Result<(), Ending> {
        loop {
            let size = match parse_chunk_size(&self.unread) {
                Ok(Status::Complete((line_bytes, size))) => {
                    let _line = self.unread.split_to(line_bytes);
                    size as usize
                }
                Ok(Status::Partial) => {
                    self.fill().await?;
                    continue;
                }
                Err(_) => return Err(Ending::Garbled),
            };
            self.take(size, body).await?;
            self.take(b"\r\n".len(), &mut Vec::new()).await?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Moves the next `length` bytes to `body`, also those of an incomplete part.
    async fn take(&mut self, length: usize, body: &mut Vec<u8>) -> Result<(), Ending> {
        let mut missing = length;
        loop {
            let piece = self.unread.split_to(missing.min(self.unread.len()));
            missing -= piece.len();
            body.extend(piece);
            if missing == 0 {
                return Ok(());
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), Ending> {
        self.unread.reserve(READ_BYTES);
        if self.reading == Reading::Slow {
            tokio::time::sleep(SLOW_READ_PAUSE).await;
        }
        match self.stream.read_buf(&mut self.unread).await {
            Ok(1..) => Ok(()),
            Ok(0) => Err(Ending::Closed),
            Err(_) => Err(Ending::Reset),
        }
    }
}

/// The head at the start of what was received, if it is there as a whole.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, httparse::Error> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Status::Complete(bytes) = response.parse(bytes)? else {
        return Ok(None);
    };
    let value = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.map(|header| String::from_utf8_lossy(header.value).into_owned())
    };
    let length = value("content-length").and_then(|length| length.parse().ok());
    let framing = match (length, value("transfer-encoding")) {
        (Some(length), _) => Framing::Length(length),
        (None, Some(_)) => Framing::Chunked,
        (None, None) => Framing::UntilClose,
    };
    let head = Head {
        bytes,
        status: response.code.unwrap_or_default(),
        framing,
        request: value("trefoilproxy-request-id"),
        closes: value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
    };
    Ok(Some(head))
}
