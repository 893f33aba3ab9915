//! The task that owns one outgoing connection.

use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::call::BodyStream;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use super::answer::AnswerBody;

/// The largest head of an answer.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// The most headers of an answer.
const HEADERS_MAX: usize = 128;

/// Why no connection could be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The peer refused or the network failed.
    Failed(io::Error),
    /// The peer did not answer in time.
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

/// Why an exchange brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection was closed and not a byte of the request was sent.
    NotSent,
    /// The connection broke after something may have been sent.
    Broken,
}

/// A connection that finished an exchange and can take another.
#[derive(Debug)]
pub struct Returned {
    /// The connection.
    pub connection: Connection,
}

/// A handle to the task that owns a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    commands: mpsc::Sender<ExchangeCommand>,
    /// When the peer last proved that the connection works.
    pub proved: Instant,
    /// Whether it has carried an exchange.
    pub used: bool,
}

#[derive(Debug)]
struct ExchangeCommand {
    request: http::Request<BodyStream>,
    reply: oneshot::Sender<Result<http::Response<AnswerBody>, ExchangeError>>,
    finished: oneshot::Sender<()>,
}

/// Opens a connection and starts its task.
///
/// # Errors
/// [`OpenError`] when the peer cannot be reached within `timeout`.
pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, OpenError> {
    let connecting = time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| OpenError::TimedOut)?
        .map_err(OpenError::Failed)?;
    stream.set_nodelay(true).map_err(OpenError::Failed)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_BYTES_MAX)
        .max_headers(HEADERS_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| OpenError::Failed(io::Error::other(error)))?;
    let (commands, inbox) = mpsc::channel(1);
    tokio::spawn(run(sender, connection, inbox));
    Ok(Connection {
        commands,
        proved: Instant::now(),
        used: false,
    })
}

impl Connection {
    /// Whether its task has ended.
    pub fn is_closed(&self) -> bool {
        self.commands.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// When the returned future is dropped, the connection closes. The second
    /// value resolves once the body was read to its end, and gives the
    /// connection back; it fails when the connection cannot be used again.
    ///
    /// # Errors
    /// [`ExchangeError`] says whether something may have been sent.
    pub async fn exchange(
        mut self,
        request: http::Request<BodyStream>,
    ) -> Result<
        (
            http::Response<AnswerBody>,
            impl Future<Output = Option<Returned>> + use<>,
        ),
        ExchangeError,
    > {
        let (reply, answer) = oneshot::channel();
        let (finished, done) = oneshot::channel();
        let command = ExchangeCommand {
            request,
            reply,
            finished,
        };
        self.commands
            .send(command)
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        let response = answer.await.unwrap_or(Err(ExchangeError::Broken))?;
        let give_back = async move {
            done.await.ok()?;
            self.proved = Instant::now();
            self.used = true;
            Some(Returned { connection: self })
        };
        Ok((response, give_back))
    }
}

type Sender = http1::SendRequest<BodyStream>;
type Driver = http1::Connection<TokioIo<TcpStream>, BodyStream>;

/// Drives the connection and serves commands until either side closes.
async fn run(mut sender: Sender, driver: Driver, mut inbox: mpsc::Receiver<ExchangeCommand>) {
    let mut driver = pin!(driver);
    loop {
        let command = tokio::select! {
            biased;
            command = inbox.recv() => command,
            _ = &mut driver => None,
        };
        let Some(command) = command else {
            return refuse_waiting(&mut inbox);
        };
        if !serve(&mut sender, driver.as_mut(), command).await {
            return;
        }
    }
}

/// Answers a command that arrived while the connection closed.
fn refuse_waiting(inbox: &mut mpsc::Receiver<ExchangeCommand>) {
    inbox.close();
    while let Ok(command) = inbox.try_recv() {
        let _ = command.reply.send(Err(ExchangeError::NotSent));
    }
}

/// Makes one exchange; returns whether the connection can take another.
async fn serve(
    sender: &mut Sender,
    mut driver: Pin<&mut Driver>,
    command: ExchangeCommand,
) -> bool {
    let ExchangeCommand {
        request,
        mut reply,
        finished,
    } = command;
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
            let unsent = error.take_message().is_some();
            let error = if unsent {
                ExchangeError::NotSent
            } else {
                ExchangeError::Broken
            };
            let _ = reply.send(Err(error));
            return false;
        }
    };
    let (whole, read_whole) = oneshot::channel();
    let response = response.map(|incoming| AnswerBody::new(incoming, whole));
    if reply.send(Ok(response)).is_err() {
        return false;
    }
    let mut read_whole = pin!(read_whole);
    let read = loop {
        tokio::select! {
            biased;
            read = &mut read_whole => break read.is_ok(),
            _ = driver.as_mut(), if driving => driving = false,
        }
    };
    let reusable = read && driving && is_ready(sender, driver).await;
    reusable && finished.send(()).is_ok()
}

/// Waits until the connection can take another request.
async fn is_ready(sender: &mut Sender, mut driver: Pin<&mut Driver>) -> bool {
    let mut ready = pin!(sender.ready());
    tokio::select! {
        biased;
        _ = driver.as_mut() => false,
        result = &mut ready => result.is_ok(),
    }
}
