//! HTTP/1.1 messages, read and written by hand.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A request or a response. Header names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a message with a length or in chunks; `None` if the connection ends before its start.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let start = read_line(reader)?;
    if start.is_empty() {
        return Ok(None);
    }
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        let name = name.to_ascii_lowercase();
        message.headers.push((name, value.trim().to_owned()));
    }
    if message.header("transfer-encoding") == "chunked" {
        message.body = read_chunks(reader)?;
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(&read_line(reader)?, 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}

/// Sends a request on this connection and reads its response.
pub fn exchange(
    reader: &mut BufReader<TcpStream>,
    head: &str,
    body: &[u8],
) -> io::Result<Option<Message>> {
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend(body);
    reader.get_mut().write_all(&bytes)?;
    read_message(reader)
}
