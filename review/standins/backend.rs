//! Stand-ins of backends: a server whose conduct a case defines.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::http::{self, Head};

/// A request that a backend began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub backend: String,
    pub head: Head,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A connection of a backend, after the head of a request.
pub struct Exchange<'a> {
    pub name: &'a str,
    pub head: Head,
    pub reader: &'a mut BufReader<TcpStream>,
    pub stream: &'a mut TcpStream,
    pub runs: &'a Runs,
}

impl Exchange<'_> {
    /// The headers that every answer of a backend has.
    pub fn identity(&self) -> String {
        format!(
            "X-Request-Id: {}\r\nX-Backend-Signature: 3e1b.07.{}\r\n",
            self.head.get("x-request-id").unwrap_or_default(),
            self.name
        )
    }

    /// Records that the backend begins to work on the request.
    pub fn record(&self) {
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            backend: self.name.to_owned(),
            head: self.head.clone(),
        });
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Reads the body, runs the request and answers with `headers` and a body that names the
    /// request and the backend.
    pub fn run(&mut self, headers: &str) -> io::Result<()> {
        http::read_body(self.reader, &self.head)?;
        self.record();
        let answer = format!(
            "{} ran {} for {}",
            self.name,
            self.head.target(),
            self.head.get("x-request-id").unwrap_or_default()
        );
        let identity = self.identity();
        self.write(&format!(
            "HTTP/1.1 200 OK\r\n{identity}{headers}Content-Length: {}\r\n\r\n{answer}",
            answer.len()
        ))
    }
}

/// What a backend does with a request; an error closes the connection.
pub type Conduct = Arc<dyn Fn(&mut Exchange<'_>) -> io::Result<()> + Send + Sync>;

/// Starts a backend with the id `name` and returns its address.
pub fn start(name: &str, runs: &Runs, conduct: Conduct) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, runs) = (name.to_owned(), Arc::clone(runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, runs, conduct) = (name.clone(), Arc::clone(&runs), Arc::clone(&conduct));
            thread::spawn(move || serve(&name, &runs, &conduct, stream));
        }
    });
    Ok(address)
}

fn serve(name: &str, runs: &Runs, conduct: &Conduct, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = http::read_head(&mut reader)? {
        if head.target() == "/health" {
            let answer =
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        let mut exchange = Exchange {
            name,
            head,
            reader: &mut reader,
            stream: &mut stream,
            runs,
        };
        let wanted = exchange.head.get("x-target-instance");
        if wanted.is_some_and(|wanted| wanted != name) {
            http::read_body(exchange.reader, &exchange.head)?;
            let identity = exchange.identity();
            exchange.write(&format!(
                "HTTP/1.1 421 Misdirected Request\r\n{identity}X-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            ))?;
            continue;
        }
        conduct(&mut exchange)?;
    }
    Ok(())
}
