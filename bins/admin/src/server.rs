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

/// The name under which the token of the settings acts.
const ROOT_OPERATOR: &str = "root";
/// Pause between two tries to store that token.
const ADOPT_PAUSE: Duration = Duration::from_secs(2);

/// A running administration API.
pub struct AdminProcess {
    /// Where operators reach it.
    pub address: SocketAddr,
    stop: mpsc::Sender<()>,
    serving: JoinHandle<()>,
}

impl AdminProcess {
    /// Starts the API.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(settings: &AdminSettings) -> io::Result<Self> {
        let observer =
            Arc::new(|operation| log::debug!(target: "admin", "Platform call: {operation}."));
        let platform = PlatformClient::start(settings.platform, observer);
        let api = AdminApi::new(Committer::new(platform));
        if let Some(token) = settings.root_token.clone() {
            tokio::spawn(adopt(api.clone(), token));
        }
        let server = AdminServer::bind(settings.address, api, Handle::current())?;
        let address = server.address;
        let (stop, stopped) = mpsc::channel();
        let serving = tokio::task::spawn_blocking(move || server.run(&stopped));
        log::info!(target: "admin", "Serving operators at {address}.");
        Ok(Self {
            address,
            stop,
            serving,
        })
    }

    /// Stops the API after the calls under way.
    pub async fn stop(self) {
        drop(self.stop);
        let _ = self.serving.await;
        log::info!(target: "admin", "Stopped.");
    }
}

/// Stores the token of the settings, however long the platform takes to answer.
async fn adopt(api: AdminApi, token: Arc<str>) {
    let Ok(operator) = ROOT_OPERATOR.parse::<ids::OperatorId>() else {
        return;
    };
    while let Err(error) = api.ensure_admin_token(operator.clone(), &token).await {
        log::warn!(target: "admin", "The root token is not stored yet: {error}.");
        time::sleep(ADOPT_PAUSE).await;
    }
}
