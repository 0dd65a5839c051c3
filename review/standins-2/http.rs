//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message that was read completely.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection; keeps what was read beyond the last one.
pub struct Reader {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The next message; `None` if the connection ended between two messages.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.ahead, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        message.body = self.body(&message)?;
        Ok(Some(message))
    }

    fn body(&mut self, message: &Message) -> io::Result<Vec<u8>> {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            return self.chunks();
        }
        let length = message
            .header("content-length")
            .and_then(|value| value.parse().ok());
        self.take(length.unwrap_or(0))
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.line()?;
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.ahead, b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..at]).into_owned();
                self.ahead.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 64 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(request)?;
    let answer = Reader::new(stream).next()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Waits until the condition holds; fails after the limit.
pub fn wait_until(
    what: &str,
    limit: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), String> {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > limit {
            return Err(format!("not within {} s: {what}", limit.as_secs()));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
