//! REFUSED: a backend answers a long upload before it has read it, and reads on.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{self, Conduct, Exchange, Runs};
use crate::gateway::Fleet;
use crate::record::Record;
use crate::store::{self, Store};
use crate::{Setup, http};

/// A body of 2 MB, sent in 5 s. The configuration allows 67 MB.
const BODY_BYTES: usize = 2_000_000;
const CHUNK_BYTES: usize = 50_000;
const CHUNK_INTERVAL: Duration = Duration::from_millis(125);
/// How long the requester waits, and the route's time limit.
const TIME_LIMIT_MS: u64 = 10_000;
/// Uploads that are sent at the same time.
const UPLOADS: usize = 8;
/// Ordinary requests before them, and the clients that send these.
const ORDINARY_REQUESTS: usize = 480;
const ORDINARY_CLIENTS: usize = 8;
/// The backend that answers early, one of two, and how many answers it gives for each early one.
const EARLY_BACKEND: &str = "i-1";
const ANSWERS_PER_EARLY: usize = 50;

/// Answers of a backend, and the early ones among them.
#[derive(Default)]
struct Answers {
    all: AtomicUsize,
    early: AtomicUsize,
}

impl Answers {
    /// Whether one more early answer stays within the share.
    fn take_early(&self) -> bool {
        let allowed = self.all.load(Ordering::SeqCst) / ANSWERS_PER_EARLY;
        let take = |early| (early < allowed).then_some(early + 1);
        let taken = self
            .early
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        taken.is_ok()
    }
}

/// The bytes of each upload that the backend has read, by the id of the request.
type Received = Arc<Mutex<Vec<(String, usize)>>>;

fn take_upload(exchange: &mut Exchange<'_>, is_early: bool, received: &Received) -> io::Result<()> {
    exchange.record();
    let identity = exchange.identity();
    let answer = format!("HTTP/1.1 200 OK\r\n{identity}Content-Length: 8\r\n\r\naccepted");
    if is_early {
        exchange.write(&answer)?;
    }
    let id = exchange
        .head
        .get("x-request-id")
        .unwrap_or_default()
        .to_owned();
    let index = {
        let mut received = received.lock().unwrap();
        received.push((id, 0));
        received.len() - 1
    };
    let mut left = exchange.head.length();
    let mut buffer = vec![0; 64 * 1024];
    while left > 0 {
        let wanted = left.min(buffer.len());
        let read = exchange.reader.read(&mut buffer[..wanted])?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        left -= read;
        received.lock().unwrap()[index].1 += read;
    }
    if is_early {
        Ok(())
    } else {
        exchange.write(&answer)
    }
}

pub fn run(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let (runs, received) = (Runs::default(), Received::default());
    let store = Store::start()?;
    let rule = store::rule("file", "unsafe", "/file/", "records", TIME_LIMIT_MS);
    let listeners = format!(r#"{{"host":"a.example","rules":[{rule}]}}"#);
    store.put(
        "config",
        "main",
        &store::configuration(7, &listeners, &["records"]),
    );
    let answers: Arc<Answers> = Arc::default();
    for name in ["i-1", "i-2"] {
        let (log, answers) = (Arc::clone(&received), Arc::clone(&answers));
        let may_be_early = setup.trouble && name == EARLY_BACKEND;
        let conduct: Conduct = Arc::new(move |exchange| {
            let is_upload = exchange.head.length() == BODY_BYTES;
            let is_early = may_be_early && is_upload && answers.take_early();
            if exchange.name == EARLY_BACKEND {
                answers.all.fetch_add(1, Ordering::SeqCst);
            }
            if is_upload {
                take_upload(exchange, is_early, &log)
            } else {
                exchange.run("")
            }
        });
        let address = backend::start(name, &runs, conduct)?;
        store.put(
            "servers",
            name,
            &store::entry(address, "records", "ikeja", 4, "ready"),
        );
    }
    let fleet = Fleet::new(store.address, 1)?;
    let gateways = fleet.start_all()?;
    let front = gateways[0].front;
    thread::sleep(Duration::from_secs(4));
    send_ordinary(record, front);
    let uploads = (0..UPLOADS).map(|number| {
        let record = record.clone();
        thread::spawn(move || upload(&record, front, &format!("9c41d07be2a35f6{number}")))
    });
    let uploads: Vec<_> = uploads.collect();
    let mut is_kept = true;
    for (number, upload) in uploads.into_iter().enumerate() {
        let id = format!("9c41d07be2a35f6{number}");
        let (statuses, sent) = upload
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        thread::sleep(Duration::from_millis(300));
        let received = received.lock().unwrap();
        let read = received
            .iter()
            .find(|(of, _)| *of == id)
            .map_or(0, |(_, read)| *read);
        let runs = runs.lock().unwrap();
        let run = runs
            .iter()
            .find(|run| run.head.get("x-request-id") == Some(&id));
        let backend = run.map(|run| run.backend.as_str());
        record.say(format!(
            "{id}: answered {statuses:?}; the requester could send {sent} bytes, {backend:?} ran it and read {read}"
        ));
        let is_refused = statuses
            .iter()
            .any(|status| [408, 421, 429, 503].contains(status));
        is_kept &= !(run.is_some() && is_refused);
    }
    record.say(format!(
        "{EARLY_BACKEND} gave {} early answers of {}",
        answers.early.load(Ordering::SeqCst),
        answers.all.load(Ordering::SeqCst)
    ));
    Ok(is_kept)
}

/// Sends small requests on the same route, one after the other from each client.
fn send_ordinary(record: &Record, front: SocketAddr) {
    let clients = (0..ORDINARY_CLIENTS).map(|client| {
        let record = record.clone();
        thread::spawn(move || {
            for number in 0..ORDINARY_REQUESTS / ORDINARY_CLIENTS {
                let id = format!("c{client}{number:03}");
                let text = http::request("POST", "a.example", "/file/2", &id, TIME_LIMIT_MS);
                let answer = http::call(front, &text, Duration::from_secs(12));
                let status = answer.map_or(0, |answer| answer.head.status());
                record.line(format!("{id} is answered {status}"));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
}

/// Sends an upload; returns the statuses that arrive on its connection and the bytes sent.
fn upload(record: &Record, front: SocketAddr, id: &str) -> io::Result<(Vec<u16>, usize)> {
    let mut client = http::Client::connect(front, Duration::from_secs(12))?;
    client.send(
        format!(
            "POST /file/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {TIME_LIMIT_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        .as_bytes(),
    )?;
    record.line(format!("sent the head of {id}, {BODY_BYTES} bytes follow"));
    let started = Instant::now();
    let mut writer = client.stream.try_clone()?;
    let sending = thread::spawn(move || {
        let chunk = vec![b'a'; CHUNK_BYTES];
        let mut sent = 0;
        while sent < BODY_BYTES && writer.write_all(&chunk).is_ok() {
            sent += CHUNK_BYTES;
            thread::sleep(CHUNK_INTERVAL);
        }
        sent
    });
    let mut statuses = Vec::new();
    while let Ok(answer) = client.receive() {
        let status = answer.head.status();
        let seconds = started.elapsed().as_secs_f64();
        record.line(format!("{id} gets status {status} after {seconds:.2} s"));
        statuses.push(status);
        // Whatever else comes on the connection comes until the upload is in, and a second.
        client
            .stream
            .set_read_timeout(Some(Duration::from_secs(6)))?;
    }
    Ok((statuses, sending.join().unwrap_or(0)))
}
