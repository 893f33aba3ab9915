//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        let length = self.get("content-length");
        length
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        let encoding = self.get("transfer-encoding").unwrap_or_default();
        encoding.to_ascii_lowercase().contains("chunked")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line);
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() && head.start.is_empty() {
            continue;
        }
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces, by its length or in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.is_chunked() {
        body.resize(head.length(), 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        reader.read_line(&mut String::new())?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// A response as a client receives it.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub head: Head,
}

/// A client's connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Client {
    /// Connects within a second, and reads for at most `patience`.
    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { reader, stream })
    }

    pub fn send(&mut self, text: &[u8]) -> io::Result<()> {
        self.stream.write_all(text)
    }

    /// Reads a response whose body is framed by its length or by chunks.
    pub fn receive(&mut self) -> io::Result<Response> {
        let head = read_head(&mut self.reader)?;
        let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        read_body(&mut self.reader, &head)?;
        Ok(Response { head })
    }
}

/// Sends one request on a connection of its own.
pub fn call(address: SocketAddr, request: &str, patience: Duration) -> io::Result<Response> {
    let mut client = Client::connect(address, patience)?;
    client.send(request.as_bytes())?;
    client.receive()
}

/// The text of a request without a body.
pub fn request(method: &str, host: &str, target: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
    )
}
