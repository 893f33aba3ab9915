//! The task that owns one outgoing connection.

use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::time::Duration;

use http::{HeaderValue, header};
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::call::BodyStream;
use model::sizes::{ExchangeCount, LocalPort};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use super::head_limit::{HeadLimit, HeadLimitedStream};
use super::response_body::ResponseBody;

/// The largest response head.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of headers in a response.
const HEADERS_MAX: usize = 128;

/// Why no connection could be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The peer refused the connection, or the network failed.
    Failed(io::Error),
    /// The connection was not established within the timeout.
    TimedOut,
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Failed(error) => write!(f, "connect failed: {error}"),
            Self::TimedOut => f.write_str("connect timed out"),
        }
    }
}

/// Why an exchange returned no response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection was closed before any byte of the request was sent.
    NotSent,
    /// The connection failed after part of the request may have been sent.
    Broken,
    /// The peer sent something other than a response: a status that is no number of three digits,
    /// for example.
    Malformed,
}

/// A connection that completed an exchange and can be used for another.
#[derive(Debug)]
pub struct ReusableConnection {
    /// The idle connection.
    pub connection: Connection,
}

/// A handle to the task that owns one connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    commands: mpsc::Sender<ExchangeCommand>,
    /// When the connection was opened or last completed an exchange, which shows that
    /// the peer responds on it.
    pub last_verified: Instant,
    /// Identifies the connection in logs and packet captures.
    pub local_port: LocalPort,
    /// Exchanges that it has completed.
    pub exchanges: ExchangeCount,
}

#[derive(Debug)]
struct ExchangeCommand {
    request: http::Request<BodyStream>,
    reply: oneshot::Sender<Result<http::Response<ResponseBody>, ExchangeError>>,
    finished: oneshot::Sender<()>,
}

/// Opens a connection and starts its task.
///
/// # Errors
/// [`OpenError`] when no connection is established within `timeout`.
pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, OpenError> {
    let connecting = time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| OpenError::TimedOut)?
        .map_err(OpenError::Failed)?;
    stream.set_nodelay(true).map_err(OpenError::Failed)?;
    let local_port = stream.local_addr().map_err(OpenError::Failed)?.port();
    let (stream, head_limit) = HeadLimitedStream::new(stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_BYTES_MAX)
        .max_headers(HEADERS_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| OpenError::Failed(io::Error::other(error)))?;
    let (commands, inbox) = mpsc::channel(1);
    tokio::spawn(run(sender, connection, head_limit, inbox));
    Ok(Connection {
        commands,
        last_verified: Instant::now(),
        local_port: LocalPort::new(local_port),
        exchanges: ExchangeCount::default(),
    })
}

impl Connection {
    /// Whether its task has ended, and the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.commands.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// When this future is dropped before it resolves, the connection closes. The
    /// second value is a future that resolves when the response body has been read to
    /// its end. It returns the connection, or none when that cannot be used again.
    ///
    /// # Errors
    /// [`ExchangeError`] states whether part of the request may have been sent.
    pub async fn exchange(
        mut self,
        mut request: http::Request<BodyStream>,
    ) -> Result<
        (
            http::Response<ResponseBody>,
            impl Future<Output = Option<ReusableConnection>> + use<>,
        ),
        ExchangeError,
    > {
        let (reply, receiver) = oneshot::channel();
        let (finished, exchange_end) = oneshot::channel();
        declare_chunks(&mut request);
        let command = ExchangeCommand {
            request,
            reply,
            finished,
        };
        self.commands
            .send(command)
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        let response = receiver.await.unwrap_or(Err(ExchangeError::Broken))?;
        let reusable = async move {
            exchange_end.await.ok()?;
            self.last_verified = Instant::now();
            self.exchanges = self.exchanges.next();
            Some(ReusableConnection { connection: self })
        };
        Ok((response, reusable))
    }
}

/// Declares that a body of unknown length is sent in chunks. Without the header, hyper assumes
/// that `GET` and `HEAD` have no body, and sends none.
fn declare_chunks(request: &mut http::Request<BodyStream>) {
    if request.body().size_hint().exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        let headers = request.headers_mut();
        headers.insert(header::TRANSFER_ENCODING, chunked);
    }
}

type Sender = http1::SendRequest<BodyStream>;
type Driver = http1::Connection<TokioIo<HeadLimitedStream>, BodyStream>;

/// Drives the connection and serves commands until the peer closes it or the handle is
/// dropped.
async fn run(
    mut sender: Sender,
    driver: Driver,
    head_limit: HeadLimit,
    mut inbox: mpsc::Receiver<ExchangeCommand>,
) {
    let mut driver = pin!(driver);
    loop {
        let command = tokio::select! {
            biased;
            command = inbox.recv() => command,
            _ = &mut driver => None,
        };
        let Some(command) = command else {
            return reject_pending(&mut inbox);
        };
        if !serve(&mut sender, driver.as_mut(), &head_limit, command).await {
            return;
        }
    }
}

/// Replies to a command that arrived while the connection was closing.
fn reject_pending(inbox: &mut mpsc::Receiver<ExchangeCommand>) {
    inbox.close();
    while let Ok(command) = inbox.try_recv() {
        let _ = command.reply.send(Err(ExchangeError::NotSent));
    }
}

/// Makes one exchange; returns whether the connection can be used for another.
async fn serve(
    sender: &mut Sender,
    mut driver: Pin<&mut Driver>,
    head_limit: &HeadLimit,
    command: ExchangeCommand,
) -> bool {
    let ExchangeCommand {
        request,
        mut reply,
        finished,
    } = command;
    head_limit.start();
    let mut pending = pin!(sender.try_send_request(request));
    let mut driving = true;
    let result = loop {
        tokio::select! {
            biased;
            () = reply.closed() => return false,
            result = &mut pending => break result,
            _ = driver.as_mut(), if driving => driving = false,
        }
    };
    let response = match result {
        Ok(response) => response,
        Err(mut error) => {
            let not_sent = error.take_message().is_some();
            let error = match error.error() {
                _ if not_sent => ExchangeError::NotSent,
                error if error.is_parse() => ExchangeError::Malformed,
                _ => ExchangeError::Broken,
            };
            let _ = reply.send(Err(error));
            return false;
        }
    };
    head_limit.lift();
    let (complete, body_complete) = oneshot::channel();
    let reads = head_limit.reads().clone();
    let response = response.map(|incoming| ResponseBody::new(incoming, complete, reads));
    if reply.send(Ok(response)).is_err() {
        return false;
    }
    let mut body_complete = pin!(body_complete);
    let complete = loop {
        tokio::select! {
            biased;
            result = &mut body_complete => break result.is_ok(),
            _ = driver.as_mut(), if driving => driving = false,
        }
    };
    let reusable = complete && driving && is_ready(sender, driver).await;
    reusable && finished.send(()).is_ok()
}

/// Waits until the connection can send another request; returns false when it closes
/// instead.
async fn is_ready(sender: &mut Sender, mut driver: Pin<&mut Driver>) -> bool {
    let mut ready = pin!(sender.ready());
    tokio::select! {
        biased;
        _ = driver.as_mut() => false,
        result = &mut ready => result.is_ok(),
    }
}
