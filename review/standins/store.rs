//! A stand-in of the platform's store: lists, single objects and watches.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Objects on a page of a list.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    /// Revision, kind, object, and whether it was removed.
    events: Vec<(u64, String, String, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 500,
            ..State::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let handle = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = handle.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object; `fields` are its members besides the metadata. The
    /// return is the store's acknowledgement.
    pub fn put(&self, kind: &str, name: &str, fields: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{revision},"finalizers":[],"deleting":false}},{fields}}}"#
        );
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        state
            .events
            .push((revision, kind.to_owned(), object, false));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_err() {
                return;
            }
            // The store takes 4 ms for an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(head.method(), head.target());
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let path = path.trim_start_matches("/v1/objects/");
        if method != "GET" {
            return (503, String::new());
        }
        if let Some((kind, name)) = path.split_once('/') {
            let state = self.shared.0.lock().unwrap();
            let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return object.map_or((404, String::new()), |object| (200, object.clone()));
        }
        match parameter("watch").and_then(|since| since.parse().ok()) {
            Some(since) => {
                let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok());
                (
                    200,
                    self.watch(path, since, Duration::from_millis(wait.unwrap_or(0))),
                )
            }
            None => (200, self.list(path, parameter("after").unwrap_or_default())),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state.objects.iter();
        let of_kind = of_kind.filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<_> = of_kind.map(|(_, object)| object.as_str()).collect();
        let page = &items[..items.len().min(PAGE_ITEMS)];
        format!(
            r#"{{"items":[{}],"has_more":{},"store_revision":{}}}"#,
            page.join(","),
            items.len() > page.len(),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|(revision, of, ..)| *revision > since && of == kind);
            let events: Vec<_> = events
                .map(|(_, _, object, removed)| {
                    format!(r#"{{"removed":{removed},"object":{object}}}"#)
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return format!(
                    r#"{{"events":[{}],"store_revision":{revision}}}"#,
                    events.join(",")
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The fields of a configuration object.
pub fn configuration(version: u64, listeners: &str, services: &[&str]) -> String {
    let clusters: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_connections":390,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#""spec":{{"version":"r{version}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"listeners":[{listeners}],"clusters":[{}]}},"status":null"#,
        clusters.join(",")
    )
}

/// One rule of a host: an unsafe or safe route to one service.
pub fn rule(name: &str, kind: &str, prefix: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","kind":"{kind}","target_latency_ms":1200,"priority":1,"match":{{"path_prefix":"{prefix}"}},"action":{{"service":"{service}","timeout_ms":{timeout_ms},"max_attempts":2}}}}"#
    )
}

/// The fields of a backend's entry.
pub fn entry(address: SocketAddr, service: &str, zone: &str, slots: u32, state: &str) -> String {
    format!(
        r#""spec":{{"address":"{address}","born":1781511401830,"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}}}},"status":{{"state":"{state}","sequence":4,"warmup_left_ms":0}}"#
    )
}
