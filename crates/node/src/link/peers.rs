//! Sends messages to other nodes; one task for each node owns the connection to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use model::error::{ErrorKind, FleetError};
use model::ids;
use policy::membership::{Member, MemberTable};
use quinn::{Connection, Endpoint};
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::keys::SERVER_NAME;
use crate::members::MemberSet;
use crate::wire::{self, MESSAGE_BYTES_MAX, NodeReply, NodeRequest};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Messages queued for one peer; when the queue is full, further ones fail at once.
const PEER_COMMANDS_MAX: usize = 256;
/// Messages queued for the task that distributes them to the peers: some 40 datagrams that a
/// relay sends to each of 100 nodes at once. When the queue is full, requests wait and
/// datagrams are dropped.
const SET_COMMANDS_MAX: usize = 4_096;
/// Time without messages after which a peer's task ends.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Called with the number of bytes of each message to another node.
pub type SentObserver = Arc<dyn Fn(usize) + Send + Sync>;

#[derive(Debug)]
struct PeerCommand {
    bytes: Bytes,
    kind: MessageKind,
}

#[derive(Debug)]
enum MessageKind {
    /// Sent as a datagram, which may be lost.
    Notification,
    /// Sent on a stream of its own, with a reply.
    Request {
        timeout: Duration,
        reply: oneshot::Sender<Result<NodeReply, FleetError>>,
    },
}

impl MessageKind {
    fn fail(self, error: FleetError) {
        if let Self::Request { reply, .. } = self {
            let _ = reply.send(Err(error));
        }
    }
}

#[derive(Debug)]
struct SetCommand {
    member: Arc<Member>,
    command: PeerCommand,
}

/// A handle to the tasks that own the connections to other nodes.
#[derive(Debug, Clone)]
pub struct PeerSet {
    commands: mpsc::Sender<SetCommand>,
}

impl PeerSet {
    /// Starts the task that distributes messages to the peers.
    pub fn start(endpoint: Endpoint, members: MemberSet, on_sent: SentObserver) -> Self {
        let (commands, inbox) = mpsc::channel(SET_COMMANDS_MAX);
        tokio::spawn(run_set(endpoint, members, on_sent, inbox));
        Self { commands }
    }

    /// Sends a request to a node and waits for its reply.
    ///
    /// # Errors
    /// `PeerUnreachable` when there is no reply in time; the node may still have handled the
    /// request.
    pub async fn request(
        &self,
        member: &Arc<Member>,
        request: &NodeRequest,
        timeout: Duration,
    ) -> Result<NodeReply, FleetError> {
        let bytes = wire::encode(request)
            .map_err(|error| FleetError::new(ErrorKind::Invalid, error.to_string()))?
            .into();
        let (sender, reply) = oneshot::channel();
        let command = PeerCommand {
            bytes,
            kind: MessageKind::Request {
                timeout,
                reply: sender,
            },
        };
        let command = SetCommand {
            member: Arc::clone(member),
            command,
        };
        self.commands
            .send(command)
            .await
            .map_err(|_| peer_unreachable(&member.node, "this node is stopping"))?;
        reply.await.unwrap_or_else(|_| {
            Err(peer_unreachable(
                &member.node,
                "the task of its connection ended",
            ))
        })
    }
}

impl PeerSet {
    /// Sends a notification to a node as a datagram, which may be lost.
    pub fn notify(&self, member: &Arc<Member>, request: &NodeRequest) {
        self.notify_each(std::iter::once(member), request);
    }

    /// Sends a notification to members, except those suspected of being down.
    pub(crate) fn notify_all(
        &self,
        table: &MemberTable,
        members: &[Arc<Member>],
        request: &NodeRequest,
    ) {
        let responsive = members
            .iter()
            .filter(|member| !table.is_suspect(&member.node));
        self.notify_each(responsive, request);
    }

    fn notify_each<'a>(
        &self,
        members: impl Iterator<Item = &'a Arc<Member>>,
        request: &NodeRequest,
    ) {
        let bytes: Bytes = match wire::encode(request) {
            Ok(bytes) => bytes.into(),
            Err(error) => {
                log::warn!(target: "node", "A notification cannot be encoded: {error}.");
                return;
            }
        };
        for member in members {
            let command = PeerCommand {
                bytes: bytes.clone(),
                kind: MessageKind::Notification,
            };
            let member = Arc::clone(member);
            if let Err(error) = self.commands.try_send(SetCommand { member, command }) {
                log::debug!(target: "node", "Dropped a notification: {error}.");
            }
        }
    }
}

fn peer_unreachable(node: &ids::NodeId, reason: &str) -> FleetError {
    FleetError::new(
        ErrorKind::PeerUnreachable,
        format!("node {node} did not reply: {reason}"),
    )
}

async fn run_set(
    endpoint: Endpoint,
    members: MemberSet,
    on_sent: SentObserver,
    mut inbox: mpsc::Receiver<SetCommand>,
) {
    let mut peers: HashMap<(ids::NodeId, SocketAddr), mpsc::Sender<PeerCommand>> = HashMap::new();
    while let Some(SetCommand { member, command }) = inbox.recv().await {
        on_sent(command.bytes.len());
        let key = (member.node.clone(), member.address);
        if peers.get(&key).is_none_or(mpsc::Sender::is_closed) {
            peers.retain(|_, peer| !peer.is_closed());
        }
        let peer = peers.entry(key).or_insert_with(|| {
            let (commands, inbox) = mpsc::channel(PEER_COMMANDS_MAX);
            let peer = Peer {
                member: Arc::clone(&member),
                endpoint: endpoint.clone(),
                members: members.clone(),
            };
            tokio::spawn(peer.run(inbox));
            commands
        });
        if let Err(rejected) = peer.try_send(command) {
            let command = rejected.into_inner();
            let error = peer_unreachable(&member.node, "too many messages are queued");
            command.kind.fail(error);
        }
    }
}

/// The task that owns the connection to one node.
struct Peer {
    member: Arc<Member>,
    endpoint: Endpoint,
    members: MemberSet,
}

impl Peer {
    async fn run(self, mut inbox: mpsc::Receiver<PeerCommand>) {
        let mut connection: Option<Connection> = None;
        while let Ok(Some(command)) = time::timeout(PEER_IDLE_TIMEOUT, inbox.recv()).await {
            let open = connection
                .take()
                .filter(|open| open.close_reason().is_none());
            let open = match open {
                Some(open) => Ok(open),
                None => self.connect().await,
            };
            match open {
                Ok(open) => {
                    connection = Some(open.clone());
                    self.send(open, command);
                }
                Err(error) => {
                    self.members.mark_suspect(&self.member.node).await;
                    command.kind.fail(error.clone());
                    while let Ok(command) = inbox.try_recv() {
                        command.kind.fail(error.clone());
                    }
                }
            }
        }
    }

    fn send(&self, connection: Connection, command: PeerCommand) {
        let PeerCommand { bytes, kind } = command;
        match kind {
            MessageKind::Notification => {
                if let Err(error) = connection.send_datagram(bytes) {
                    log::debug!(target: "node", "Dropped a datagram: {error}.");
                }
            }
            MessageKind::Request { timeout, reply } => {
                let exchange = PeerExchange {
                    connection,
                    member: Arc::clone(&self.member),
                    members: self.members.clone(),
                    timeout,
                    reply,
                };
                tokio::spawn(exchange.run(bytes));
            }
        }
    }

    async fn connect(&self) -> Result<Connection, FleetError> {
        let node = &self.member.node;
        let connecting = self
            .endpoint
            .connect(self.member.address, SERVER_NAME)
            .map_err(|error| peer_unreachable(node, &error.to_string()))?;
        let connected = time::timeout(CONNECT_TIMEOUT, connecting).await;
        connected
            .map_err(|_| peer_unreachable(node, "connecting timed out"))?
            .map_err(|error| peer_unreachable(node, &error.to_string()))
    }
}

/// A request whose reply has not arrived yet.
struct PeerExchange {
    connection: Connection,
    member: Arc<Member>,
    members: MemberSet,
    timeout: Duration,
    reply: oneshot::Sender<Result<NodeReply, FleetError>>,
}

impl PeerExchange {
    async fn run(self, bytes: Bytes) {
        let node = &self.member.node;
        let exchanged = time::timeout(self.timeout, send_and_read(&self.connection, &bytes)).await;
        let result = match exchanged {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(reason)) => Err(peer_unreachable(node, &reason)),
            Err(_) => {
                // The node may have restarted and no longer know the connection, so the next
                // request must open a new one.
                self.connection.close(0_u32.into(), b"timed out");
                Err(peer_unreachable(node, "timed out"))
            }
        };
        if result.is_err() {
            self.members.mark_suspect(node).await;
        }
        let _ = self.reply.send(result);
    }
}

async fn send_and_read(connection: &Connection, bytes: &[u8]) -> Result<NodeReply, String> {
    let (mut sender, mut receiver) = connection
        .open_bi()
        .await
        .map_err(|error| error.to_string())?;
    sender
        .write_all(bytes)
        .await
        .map_err(|error| error.to_string())?;
    sender.finish().map_err(|error| error.to_string())?;
    let read = receiver.read_to_end(MESSAGE_BYTES_MAX).await;
    let bytes = read.map_err(|error| error.to_string())?;
    wire::decode(&bytes).map_err(|error| error.to_string())
}
