//! Accepts connections from other nodes and serves their messages.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use tokio::time;

use crate::wire::{self, MESSAGE_BYTES_MAX, NodeReply, NodeRequest};

/// Timeout for receiving a whole message.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A reply in progress.
pub type ReplyFuture = Pin<Box<dyn Future<Output = NodeReply> + Send>>;

/// Handles a request of another node; also called for datagrams, whose reply is dropped.
pub type RequestHandler = Arc<dyn Fn(NodeRequest) -> ReplyFuture + Send + Sync>;

/// Accepts connections until the endpoint closes.
pub async fn accept(endpoint: Endpoint, handler: RequestHandler) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_connection(incoming, Arc::clone(&handler)));
    }
}

async fn serve_connection(incoming: Incoming, handler: RequestHandler) {
    let peer = incoming.remote_address();
    let connection: Connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!(target: "node", "Refused a connection from {peer}: {error}.");
            return;
        }
    };
    loop {
        tokio::select! {
            stream = connection.accept_bi() => {
                let Ok((sender, receiver)) = stream else { return };
                tokio::spawn(serve_stream(sender, receiver, Arc::clone(&handler)));
            }
            datagram = connection.read_datagram() => {
                let Ok(bytes) = datagram else { return };
                serve_datagram(&bytes, &handler).await;
            }
        }
    }
}

/// Serves a message that needs no reply.
async fn serve_datagram(bytes: &[u8], handler: &RequestHandler) {
    match wire::decode::<NodeRequest>(bytes) {
        Ok(request) => {
            handler(request).await;
        }
        Err(error) => {
            log::warn!(target: "node", "Dropped a datagram that cannot be decoded: {error}.");
        }
    }
}

async fn serve_stream(mut sender: SendStream, mut receiver: RecvStream, handler: RequestHandler) {
    let reading = time::timeout(READ_TIMEOUT, receiver.read_to_end(MESSAGE_BYTES_MAX));
    let Ok(Ok(bytes)) = reading.await else { return };
    let reply = match wire::decode::<NodeRequest>(&bytes) {
        Ok(request) => handler(request).await,
        Err(error) => {
            log::warn!(target: "node", "Rejected a message that cannot be decoded: {error}.");
            NodeReply::Failed("the message cannot be decoded".to_owned())
        }
    };
    let Ok(bytes) = wire::encode(&reply) else {
        return;
    };
    if sender.write_all(&bytes).await.is_ok() {
        let _ = sender.finish();
    }
}
