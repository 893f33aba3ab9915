//! HTTP/1.1 helpers of the stand-ins: reading and writing messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The head of a message: its first line and its header fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// A word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// The status, if this is the head of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let size = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..size]);
        Ok(size)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Head {
                    line,
                    fields: fields.collect(),
                }));
            }
            if self.fill()? == 0 {
                return if self.rest.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn read_exact(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..size).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a message with a length or chunks; one without either has none.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.read_exact(size)?;
                body.extend_from_slice(&chunk);
                self.read_line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let size = head
            .get("content-length")
            .and_then(|size| size.parse().ok());
        self.read_exact(size.unwrap_or(0))
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Waits for `time`, or until the peer closes; returns whether it closed.
    pub fn wait_or_closed(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let now = Instant::now();
            if now >= end {
                let _ = self.stream.set_read_timeout(None);
                return false;
            }
            let _ = self.stream.set_read_timeout(Some(end - now));
            let mut byte = [0];
            match self.stream.peek(&mut byte) {
                Ok(0) => return true,
                Ok(_) => std::thread::sleep(Duration::from_millis(5)),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return true,
            }
        }
    }
}
