//! REFUSED: a backend answers a long upload before it has read it, and reads on.

use std::io::{self, Read, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{self, Conduct, Exchange, Runs};
use crate::gateway::Fleet;
use crate::store::{self, Store};
use crate::{Setup, http};

/// A body of 2 MB, sent in 5 s. The configuration allows 67 MB.
const BODY_BYTES: usize = 2_000_000;
const CHUNK_BYTES: usize = 50_000;
const CHUNK_INTERVAL: Duration = Duration::from_millis(125);
/// How long the requester waits, and the route's time limit.
const TIME_LIMIT_MS: u64 = 10_000;
const UPLOADS: usize = 3;

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
    let (record, is_early) = (&setup.record, setup.trouble);
    let (runs, received) = (Runs::default(), Received::default());
    let store = Store::start()?;
    let rule = store::rule("file", "unsafe", "/file/", "records", TIME_LIMIT_MS);
    let listeners = format!(r#"{{"host":"a.example","rules":[{rule}]}}"#);
    store.put(
        "config",
        "main",
        &store::configuration(7, &listeners, &["records"]),
    );
    for name in ["i-1", "i-2"] {
        let log = Arc::clone(&received);
        let conduct: Conduct = Arc::new(move |exchange| take_upload(exchange, is_early, &log));
        let address = backend::start(name, &runs, conduct)?;
        store.put(
            "servers",
            name,
            &store::entry(address, "records", "ikeja", 4, "ready"),
        );
    }
    let fleet = Fleet::new(store.address, 1)?;
    let gateways = fleet.start_all()?;
    thread::sleep(Duration::from_secs(4));
    let mut is_kept = true;
    for number in 0..UPLOADS {
        let id = format!("9c41d07be2a35f6{number}");
        let mut client = http::Client::connect(gateways[0].front, Duration::from_secs(12))?;
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
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            record.say(format!(
                "{id} gets status {status} {body:?} after {:.2} s",
                started.elapsed().as_secs_f64()
            ));
            statuses.push(status);
            // Whatever else comes on the connection comes until the upload is in, and a second.
            client
                .stream
                .set_read_timeout(Some(Duration::from_secs(6)))?;
        }
        let sent = sending.join().unwrap_or(0);
        thread::sleep(Duration::from_millis(300));
        let received = received.lock().unwrap();
        let read = received
            .iter()
            .find(|(of, _)| *of == id)
            .map_or(0, |(_, read)| *read);
        let has_run = runs
            .lock()
            .unwrap()
            .iter()
            .any(|run| run.head.get("x-request-id") == Some(&id));
        record.say(format!(
            "{id}: the requester could send {sent} bytes, its backend read {read}; it has run: {has_run}"
        ));
        let is_refused = statuses
            .iter()
            .any(|status| [408, 421, 429, 503].contains(status));
        is_kept &= !(has_run && is_refused);
    }
    Ok(is_kept)
}
