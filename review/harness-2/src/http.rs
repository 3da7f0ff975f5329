//! A minimal HTTP/1.1 message reader, enough for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The three parts of the first line.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

/// Reads one message with a length or without a body; `None` if the connection ends before it.
pub fn read_message(read: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if read.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.trim_end().splitn(3, ' ').map(str::to_owned);
    let first = [(); 3].map(|()| parts.next().unwrap_or_default());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if read.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    read.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes bytes as base64 text with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
