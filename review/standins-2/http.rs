//! A small HTTP/1.1 server and client on blocking sockets, without crates.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request that a server has read in full.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.as_str())
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_string())
}

fn read_headers(from: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

fn read_exactly(from: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Reads a body sent in chunks. `on_chunk` gets each of them as it arrives.
fn read_chunks(from: &mut impl BufRead, mut on_chunk: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(from)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let chunk = read_exactly(from, size)?;
        on_chunk(&chunk);
        read_line(from)?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn read_request(from: &mut BufReader<TcpStream>, to: &mut TcpStream) -> io::Result<Request> {
    let line = read_line(from)?;
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_string();
    let headers = read_headers(from)?;
    if find(&headers, "expect").eq_ignore_ascii_case("100-continue") {
        to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        read_chunks(from, |chunk| body.extend_from_slice(chunk))?;
    } else if let Ok(length) = find(&headers, "content-length").parse() {
        body = read_exactly(from, length)?;
    }
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_string(), query.to_string());
    Ok(Request { path, query, headers, body })
}

/// What becomes of a channel after a request.
#[derive(PartialEq)]
pub enum Next {
    Keep,
    Close,
}

/// Serves until `stop` is set: one thread a channel. The listener is closed then, and `opened` gets
/// a handle of each channel, so that the owner can close these too.
pub fn serve(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    opened: impl Fn(TcpStream) + Send + 'static,
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<Next> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                opened(copy);
            }
            let handler = handler.clone();
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_request(&mut reader, &mut writer) {
                    match handler(&request, &mut writer) {
                        Ok(Next::Keep) => {}
                        _ => break,
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    Ok(())
}

/// Writes a whole answer with a length.
pub fn answer(
    to: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Next> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)?;
    Ok(Next::Keep)
}

/// What a client saw of one request.
#[derive(Default, Clone)]
pub struct Answer {
    /// None if the channel ended before a status.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.is_whole
    }

    /// The status, marked if the answer broke off.
    pub fn text(&self) -> String {
        match self.status {
            None => "closed".to_string(),
            Some(status) if self.is_whole => status.to_string(),
            Some(status) => format!("{status} broken off"),
        }
    }

    /// The time to wait before the next attempt, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let seconds: f64 = self.header("retry-after").parse().ok()?;
        Some((seconds * 1_000.0).ceil() as u64)
    }
}

/// A consumer's channel, which may carry several requests, one after the other.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel whose reads and writes wait for at most `limit`.
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Channel { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Sends a request and reads its answer.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(String, String)],
        body: &[u8],
    ) -> Answer {
        let mut seen = Answer::default();
        let _ = self.exchange(method, path, headers, body, &mut seen);
        seen
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(String, String)],
        body: &[u8],
        seen: &mut Answer,
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if method != "GET" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        self.stream.write_all((head + "\r\n").as_bytes())?;
        self.stream.write_all(body)?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        seen.headers = read_headers(&mut self.reader)?;
        seen.status = status;
        if find(&seen.headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut bytes = Vec::new();
            let read = read_chunks(&mut self.reader, |chunk| bytes.extend_from_slice(chunk));
            seen.body = bytes;
            read?;
        } else if let Ok(length) = find(&seen.headers, "content-length").parse() {
            seen.body = read_exactly(&mut self.reader, length)?;
        } else {
            self.reader.read_to_end(&mut seen.body)?;
        }
        seen.is_whole = true;
        Ok(())
    }
}

/// Sends one request on a new channel, and reads its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    match Channel::open(address, limit) {
        Ok(mut channel) => channel.send(method, path, headers, body),
        Err(_) => Answer::default(),
    }
}
