//! Starts and stops the administration API.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use model::ids;
use operator::api::calls::AdminApi;
use operator::api::http::AdminServer;
use operator::commit::Committer;
use platform::PlatformClient;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time;

use crate::settings::AdminSettings;

/// The operator to whom the root token of the settings belongs.
const ROOT_OPERATOR: &str = "root";
/// Pause between two attempts to store the root token.
const STORE_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// A running administration API.
pub struct AdminProcess {
    /// Address for operators.
    pub address: SocketAddr,
    stop: mpsc::Sender<()>,
    server_task: JoinHandle<()>,
}

impl AdminProcess {
    /// Binds the address and starts the API.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(settings: &AdminSettings) -> io::Result<Self> {
        let observer =
            Arc::new(|operation| log::debug!(target: "admin", "Platform call: {operation}."));
        let platform = PlatformClient::start(settings.platform_address, observer);
        let api = AdminApi::new(Committer::new(platform));
        if let Some(token) = settings.root_token.clone() {
            tokio::spawn(store_root_token(api.clone(), token));
        }
        let server = AdminServer::bind(settings.address, api, Handle::current())?;
        let address = server.address;
        let (stop, stop_receiver) = mpsc::channel();
        let server_task = tokio::task::spawn_blocking(move || server.run(&stop_receiver));
        log::info!(target: "admin", "The administration API listens on {address}.");
        Ok(Self {
            address,
            stop,
            server_task,
        })
    }

    /// Stops the API once the requests in progress have finished.
    pub async fn stop(self) {
        drop(self.stop);
        let _ = self.server_task.await;
        log::info!(target: "admin", "The administration API has stopped.");
    }
}

/// Stores the root token of the settings; tries again until the platform accepts it.
async fn store_root_token(api: AdminApi, token: Arc<str>) {
    let Ok(operator) = ROOT_OPERATOR.parse::<ids::OperatorId>() else {
        return;
    };
    while let Err(error) = api.ensure_admin_token(operator.clone(), &token).await {
        log::warn!(target: "admin", "Cannot store the root token, trying again: {error}.");
        time::sleep(STORE_RETRY_PAUSE).await;
    }
}
