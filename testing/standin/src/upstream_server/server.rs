//! The HTTP interface of an upstream's stand-in, and the task that owns its slots.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{HeaderValue, Method, Response, StatusCode};
use http_body_util::BodyExt as _;
use http1::server::{self, RequestBody, ServeLimits};
use model::call::BodyStream;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::behaviour::{Behaviour, GrayMode};
use super::ledger::RunLedger;
use super::response;

/// Header that names the action of a request, whose runs the ledger counts.
pub const ACTION_ID_HEADER: &str = "action-id";

/// Factor by which [`GrayMode::Slow`] extends the service time.
const SLOW_FACTOR: u32 = 5;
/// Factor by which a cold start extends the service time.
const COLD_FACTOR: u32 = 4;
/// Share of requests that hang in [`GrayMode::Hang`].
const HANG_SHARE: f64 = 0.5;
/// How long a hanging request gets no response.
const HANG_DURATION: Duration = Duration::from_mins(2);
/// Maximum number of commands queued for the task that owns the slots.
const COMMANDS_MAX: usize = 1024;

/// A running stand-in of an upstream; dropping it stops the stand-in.
#[derive(Debug)]
pub struct UpstreamStandin {
    address: SocketAddr,
    behaviour: watch::Sender<Behaviour>,
    request_count: Arc<AtomicU64>,
    _stop: watch::Sender<bool>,
}

/// What the handlers of all connections share.
#[derive(Clone)]
struct RequestHandler {
    behaviour: watch::Receiver<Behaviour>,
    slots: mpsc::Sender<SlotCommand>,
    ledger: RunLedger,
    request_count: Arc<AtomicU64>,
    started: Instant,
    seed: u64,
}

/// A command to the task that owns the slots.
enum SlotCommand {
    Acquire {
        /// Current number of slots and limit of the queue.
        limits: (usize, usize),
        reply: oneshot::Sender<Option<SlotPermit>>,
    },
    Release,
}

/// A slot in use; dropping the permit releases the slot.
struct SlotPermit {
    release: mpsc::UnboundedSender<()>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let _ = self.release.send(());
    }
}

impl UpstreamStandin {
    /// Starts the stand-in. With port 0 the system assigns a port; the seed determines the
    /// random choices for each request.
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
        let (behaviour, behaviour_watch) = watch::channel(behaviour);
        let (slots, slots_inbox) = mpsc::channel(COMMANDS_MAX);
        let (stop, stopping) = watch::channel(false);
        let request_count = Arc::new(AtomicU64::new(0));
        tokio::spawn(run_slots(slots_inbox));
        let handler = RequestHandler {
            behaviour: behaviour_watch,
            slots,
            ledger,
            request_count: Arc::clone(&request_count),
            started: Instant::now(),
            seed,
        };
        tokio::spawn(accept(listener, handler, stopping));
        Ok(Self {
            address,
            behaviour,
            request_count,
            _stop: stop,
        })
    }

    /// The address that the stand-in listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Modifies the behaviour; it applies to requests that arrive afterwards.
    pub fn change_behaviour(&self, modify: impl FnOnce(&mut Behaviour)) {
        self.behaviour.send_modify(modify);
    }

    /// Number of requests that arrived, shed ones included and health checks excluded.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }
}

/// Owns the slots: grants them, queues requests up to a limit and rejects further ones.
async fn run_slots(mut inbox: mpsc::Receiver<SlotCommand>) {
    let (release, mut released) = mpsc::unbounded_channel();
    let mut in_use = 0;
    let mut queue = std::collections::VecDeque::new();
    loop {
        let command = tokio::select! {
            command = inbox.recv() => command,
            _ = released.recv() => Some(SlotCommand::Release),
        };
        match command {
            None => return,
            Some(SlotCommand::Release) => {
                in_use -= 1;
                while let Some(reply) = queue.pop_front() {
                    let reply: oneshot::Sender<Option<SlotPermit>> = reply;
                    if reply.is_closed() {
                        continue;
                    }
                    in_use += 1;
                    let _ = reply.send(Some(SlotPermit {
                        release: release.clone(),
                    }));
                    break;
                }
            }
            Some(SlotCommand::Acquire {
                limits: (slots, queue_max),
                reply,
            }) => {
                queue.retain(|reply| !reply.is_closed());
                if in_use < slots {
                    in_use += 1;
                    let _ = reply.send(Some(SlotPermit {
                        release: release.clone(),
                    }));
                } else if queue.len() < queue_max {
                    queue.push_back(reply);
                } else {
                    let _ = reply.send(None);
                }
            }
        }
    }
}

/// Accepts connections until the stand-in is dropped, which also closes them.
async fn accept(
    listener: TcpListener,
    handler: RequestHandler,
    mut stopping: watch::Receiver<bool>,
) {
    let connection_stop = stopping.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.changed() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let serve_request: server::Handler<BodyStream> = Arc::new(move |request| {
            let handler = handler.clone();
            Box::pin(async move { handler.respond(request).await })
        });
        let stop = connection_stop.clone();
        let limits = ServeLimits::default();
        let serving = server::serve(stream, move || limits, serve_request, stop);
        let mut stop = connection_stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serving => {}
                _ = stop.changed() => {}
            }
        });
    }
}

impl RequestHandler {
    async fn respond(&self, request: http::Request<RequestBody>) -> Response<BodyStream> {
        let behaviour = *self.behaviour.borrow();
        let id = request.headers().get(upstream::wire::REQUEST_ID).cloned();
        let mut response = if request.uri().path() == "/healthz" {
            health_response(behaviour)
        } else {
            self.run_request(behaviour, request).await
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

    async fn run_request(
        &self,
        behaviour: Behaviour,
        request: http::Request<RequestBody>,
    ) -> Response<BodyStream> {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        self.ledger
            .record_request(request.uri().path(), request.headers());
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number);
        let (reply, acquired) = oneshot::channel();
        let limits = (behaviour.slots, behaviour.queue);
        let _ = self
            .slots
            .send(SlotCommand::Acquire { limits, reply })
            .await;
        let Ok(Some(permit)) = acquired.await else {
            return response::shed();
        };
        let (parts, body) = request.into_parts();
        if body.collect().await.is_err() {
            return response::empty(StatusCode::BAD_REQUEST);
        }
        if behaviour.gray == GrayMode::Hang && rng.random_bool(HANG_SHARE) {
            time::sleep(HANG_DURATION).await;
        }
        let service_time = self.service_time(behaviour, &mut rng);
        if !service_time.is_zero() {
            time::sleep(service_time).await;
        }
        if behaviour.gray == GrayMode::Errors {
            return response::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let action = http1::header::text(&parts.headers, ACTION_ID_HEADER);
        if let Some(action) = action.filter(|_| parts.method != Method::GET) {
            self.ledger.record_run(action);
        }
        drop(permit);
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", http::uri::PathAndQuery::as_str);
        response::build(target, &parts.headers, behaviour.gray == GrayMode::Truncate)
    }

    fn service_time(&self, behaviour: Behaviour, rng: &mut SmallRng) -> Duration {
        let factor = rng.random_range(0.7..1.3);
        let mut service_time = behaviour.service_time.mul_f64(factor);
        if behaviour.gray == GrayMode::Slow {
            service_time *= SLOW_FACTOR;
        }
        if self.started.elapsed() < behaviour.cold_duration {
            service_time *= COLD_FACTOR;
        }
        service_time
    }
}

fn health_response(behaviour: Behaviour) -> Response<BodyStream> {
    let status = if behaviour.fails_health_checks {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    response::empty(status)
}
