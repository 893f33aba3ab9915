//! The HTTP side of an upstream's stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{HeaderValue, Method, Response, StatusCode};
use http_body_util::BodyExt as _;
use http1::server::{self, ServeLimits};
use hyper::body::Incoming;
use model::call::BodyStream;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::answer;
use super::behaviour::{Behaviour, GrayMode};
use super::ledger::RunLedger;

/// Names the action that a request performs, for the ledger.
pub const ACTION_ID: &str = "action-id";

/// How much slower a slow upstream is.
const SLOW_FACTOR: u32 = 5;
/// How much slower a cold upstream is.
const COLD_FACTOR: u32 = 4;
/// Share of requests that a hanging upstream never answers.
const HANG_SHARE: f64 = 0.5;
/// How long a request that gets no answer is held.
const HANG_SPAN: Duration = Duration::from_mins(2);
/// Entries that wait for the slots' task.
const GATE_MAX: usize = 1024;

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct UpstreamStandin {
    address: SocketAddr,
    behaviour: watch::Sender<Behaviour>,
    served: Arc<AtomicU64>,
    _stop: watch::Sender<bool>,
}

#[derive(Clone)]
struct Server {
    behaviour: watch::Receiver<Behaviour>,
    gate: mpsc::Sender<GateCommand>,
    ledger: RunLedger,
    served: Arc<AtomicU64>,
    started: Instant,
    seed: u64,
}

enum GateCommand {
    Enter {
        room: (usize, usize),
        reply: oneshot::Sender<Option<SlotPermit>>,
    },
    Leave,
}

/// A slot in use; dropping it frees the slot.
struct SlotPermit {
    gate: mpsc::UnboundedSender<()>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let _ = self.gate.send(());
    }
}

impl UpstreamStandin {
    /// Starts the stand-in on an address whose port may be zero.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        behaviour: Behaviour,
        ledger: RunLedger,
        seed: u64,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (behaviour, watched) = watch::channel(behaviour);
        let (gate, gate_inbox) = mpsc::channel(GATE_MAX);
        let (stop, stopping) = watch::channel(false);
        let served = Arc::new(AtomicU64::new(0));
        tokio::spawn(run_gate(gate_inbox));
        let state = Server {
            behaviour: watched,
            gate,
            ledger,
            served: Arc::clone(&served),
            started: Instant::now(),
            seed,
        };
        tokio::spawn(accept(listener, state, stopping));
        Ok(Self {
            address,
            behaviour,
            served,
            _stop: stop,
        })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.behaviour.send_modify(change);
    }

    /// Requests that reached it, health checks left out.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }
}

/// Owns the slots: lets requests in, keeps some waiting, turns the rest away.
async fn run_gate(mut inbox: mpsc::Receiver<GateCommand>) {
    let (free, mut freed) = mpsc::unbounded_channel();
    let mut busy = 0;
    let mut waiting = std::collections::VecDeque::new();
    loop {
        let command = tokio::select! {
            command = inbox.recv() => command,
            _ = freed.recv() => Some(GateCommand::Leave),
        };
        match command {
            None => return,
            Some(GateCommand::Leave) => {
                busy -= 1;
                while let Some(reply) = waiting.pop_front() {
                    let reply: oneshot::Sender<Option<SlotPermit>> = reply;
                    if reply.is_closed() {
                        continue;
                    }
                    busy += 1;
                    let _ = reply.send(Some(SlotPermit { gate: free.clone() }));
                    break;
                }
            }
            Some(GateCommand::Enter {
                room: (slots, queue),
                reply,
            }) => {
                waiting.retain(|reply| !reply.is_closed());
                if busy < slots {
                    busy += 1;
                    let _ = reply.send(Some(SlotPermit { gate: free.clone() }));
                } else if waiting.len() < queue {
                    waiting.push_back(reply);
                } else {
                    let _ = reply.send(None);
                }
            }
        }
    }
}

async fn accept(listener: TcpListener, server: Server, mut stopping: watch::Receiver<bool>) {
    let connection_stop = stopping.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.changed() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let server = server.clone();
        let handler: server::Handler<BodyStream> = Arc::new(move |request| {
            let server = server.clone();
            Box::pin(async move { server.answer(request).await })
        });
        let stop = connection_stop.clone();
        let limits = ServeLimits::default();
        let serving = server::serve(stream, move || limits, handler, stop);
        let mut stop = connection_stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serving => {}
                _ = stop.changed() => {}
            }
        });
    }
}

impl Server {
    async fn answer(&self, request: http::Request<Incoming>) -> Response<BodyStream> {
        let behaviour = *self.behaviour.borrow();
        let id = request.headers().get(upstream::wire::REQUEST_ID).cloned();
        let mut response = if request.uri().path() == "/healthz" {
            health(behaviour)
        } else {
            self.work(behaviour, request).await
        };
        let headers = response.headers_mut();
        if behaviour.draining {
            headers.insert(
                upstream::wire::STATE,
                HeaderValue::from_static(upstream::wire::DRAINING),
            );
        }
        if let Some(id) = id {
            headers.insert(upstream::wire::REQUEST_ID, id);
        }
        response
    }

    async fn work(
        &self,
        behaviour: Behaviour,
        request: http::Request<Incoming>,
    ) -> Response<BodyStream> {
        let number = self.served.fetch_add(1, Ordering::Relaxed);
        self.ledger.arrived(request.uri().path(), request.headers());
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number);
        let (reply, entered) = oneshot::channel();
        let room = (behaviour.slots, behaviour.queue);
        let _ = self.gate.send(GateCommand::Enter { room, reply }).await;
        let Ok(Some(permit)) = entered.await else {
            return answer::shed();
        };
        let (parts, body) = request.into_parts();
        if body.collect().await.is_err() {
            return answer::plain(StatusCode::BAD_REQUEST);
        }
        if behaviour.gray == GrayMode::Hang && rng.random_bool(HANG_SHARE) {
            time::sleep(HANG_SPAN).await;
        }
        let service_time = self.service_time(behaviour, &mut rng);
        if !service_time.is_zero() {
            time::sleep(service_time).await;
        }
        if behaviour.gray == GrayMode::Errors {
            return answer::plain(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let action = http1::header::text(&parts.headers, ACTION_ID);
        if let Some(action) = action.filter(|_| parts.method != Method::GET) {
            self.ledger.ran(action);
        }
        drop(permit);
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", http::uri::PathAndQuery::as_str);
        answer::build(target, &parts.headers, behaviour.gray == GrayMode::Truncate)
    }

    fn service_time(&self, behaviour: Behaviour, rng: &mut SmallRng) -> Duration {
        let spread = rng.random_range(0.7..1.3);
        let mut time = behaviour.service_time.mul_f64(spread);
        if behaviour.gray == GrayMode::Slow {
            time *= SLOW_FACTOR;
        }
        if self.started.elapsed() < behaviour.cold {
            time *= COLD_FACTOR;
        }
        time
    }
}

fn health(behaviour: Behaviour) -> Response<BodyStream> {
    let status = if behaviour.health_wrong {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    answer::plain(status)
}
