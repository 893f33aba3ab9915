//! The settings of an entry node.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use caller::CallerLimits;
use model::settings::SettingError;
use model::{ids, setting, sizes, span};
use node::keys::FleetCa;
use policy::membership::Member;
use telemetry::logs::{LogFormat, LogLevel};

/// Everything that a node is started from.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The node's name.
    pub node: ids::NodeId,
    /// Its data centre.
    pub data_centre: ids::DataCentreId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other nodes reach it.
    pub node_address: SocketAddr,
    /// Where operators and scrapers reach it.
    pub ops_address: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// Nodes known at the start.
    pub seeds: Vec<Member>,
    /// The fleet's certificate authority.
    pub ca: FleetCa,
    /// How long a stopping node keeps accepting while the balancer takes notice.
    pub stop_delay: span::TimeSpan,
    /// The longest that a stopping node waits for work in flight.
    pub stop_timeout: span::TimeSpan,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Shortest time between two writes of a shard of claims.
    pub claim_pace: span::TimeSpan,
}

/// The settings with those of the log.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The node's settings.
    pub entry: EntrySettings,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Which log lines are written.
    pub log_level: LogLevel,
}

mod flags {
    xflags::xflags! {
        /// Runs one entry node of the fleet. Each flag may be given by the variable in brackets instead.
        cmd gooseberrydyke-entry {
            /// Name of this node, unique in the fleet [GOOSEBERRYDYKE_NODE]
            optional --node node: String
            /// Data centre of this node [GOOSEBERRYDYKE_DATA_CENTRE]
            optional --data-centre data_centre: String
            /// Address for callers, default 0.0.0.0:8080 [GOOSEBERRYDYKE_CALLERS]
            optional --callers callers: String
            /// Address for other nodes over UDP, default 0.0.0.0:7400 [GOOSEBERRYDYKE_NODES]
            optional --nodes nodes: String
            /// Address for operators and scrapers, default 127.0.0.1:9400 [GOOSEBERRYDYKE_OPS]
            optional --ops ops: String
            /// Address of the platform [GOOSEBERRYDYKE_PLATFORM]
            optional --platform platform: String
            /// Nodes known at the start as NAME@ADDRESS@DATA-CENTRE, comma separated [GOOSEBERRYDYKE_SEEDS]
            optional --seeds seeds: String
            /// File with the fleet's CA certificate in PEM [GOOSEBERRYDYKE_CA_CERTIFICATE]
            optional --ca-certificate ca_certificate: String
            /// File with the fleet's CA key in PEM [GOOSEBERRYDYKE_CA_KEY]
            optional --ca-key ca_key: String
            /// How long a stopping node keeps accepting, default 5s [GOOSEBERRYDYKE_STOP_DELAY]
            optional --stop-delay stop_delay: String
            /// Longest wait for work in flight, default 60s [GOOSEBERRYDYKE_STOP_TIMEOUT]
            optional --stop-timeout stop_timeout: String
            /// Connections from callers, 1 to 1000000, default 10000 [GOOSEBERRYDYKE_CALLER_CONNECTIONS]
            optional --caller-connections caller_connections: String
            /// Largest head of a request in bytes, 8192 to 1048576, default 32768 [GOOSEBERRYDYKE_HEAD_BYTES]
            optional --head-bytes head_bytes: String
            /// How long a head may take to arrive, default 15s [GOOSEBERRYDYKE_HEAD_TIMEOUT]
            optional --head-timeout head_timeout: String
            /// Shortest time between two writes of a shard of claims, default 10ms [GOOSEBERRYDYKE_CLAIM_PACE]
            optional --claim-pace claim_pace: String
            /// Log lines as text or json, default text [GOOSEBERRYDYKE_LOG_FORMAT]
            optional --log-format log_format: String
            /// Log lines from error, warn, info or debug on, default info [GOOSEBERRYDYKE_LOG_LEVEL]
            optional --log-level log_level: String
        }
    }
}

/// Reads the command line and the environment; ends the process on `--help` or a faulty flag.
///
/// # Errors
/// [`SettingError`] names the setting, its value and what is allowed.
pub fn read() -> Result<ProcessSettings, SettingError> {
    let flags = flags::GooseberrydykeEntry::from_env_or_exit();
    Ok(ProcessSettings {
        log_format: setting!("log-format", "GOOSEBERRYDYKE_LOG_FORMAT")
            .read_or(flags.log_format.clone(), "text")?,
        log_level: setting!("log-level", "GOOSEBERRYDYKE_LOG_LEVEL")
            .read_or(flags.log_level.clone(), "info")?,
        entry: read_entry(flags)?,
    })
}

fn read_entry(flags: flags::GooseberrydykeEntry) -> Result<EntrySettings, SettingError> {
    let seeds = setting!("seeds", "GOOSEBERRYDYKE_SEEDS");
    let seed_text = seeds.read_or::<String>(flags.seeds, "")?;
    let mut limits = CallerLimits::default();
    let connections = setting!("caller-connections", "GOOSEBERRYDYKE_CALLER_CONNECTIONS")
        .read_or::<sizes::RequestCount>(flags.caller_connections, "10000")?;
    limits.connections = usize::try_from(connections.get()).unwrap_or(usize::MAX);
    limits.connection.head_bytes = read_head_bytes(flags.head_bytes)?;
    limits.connection.head_timeout = setting!("head-timeout", "GOOSEBERRYDYKE_HEAD_TIMEOUT")
        .read_or::<span::TimeSpan>(flags.head_timeout, "15s")?
        .get();
    Ok(EntrySettings {
        node: setting!("node", "GOOSEBERRYDYKE_NODE").read(flags.node)?,
        data_centre: setting!("data-centre", "GOOSEBERRYDYKE_DATA_CENTRE")
            .read(flags.data_centre)?,
        caller_address: setting!("callers", "GOOSEBERRYDYKE_CALLERS")
            .read_or(flags.callers, "0.0.0.0:8080")?,
        node_address: setting!("nodes", "GOOSEBERRYDYKE_NODES")
            .read_or(flags.nodes, "0.0.0.0:7400")?,
        ops_address: setting!("ops", "GOOSEBERRYDYKE_OPS").read_or(flags.ops, "127.0.0.1:9400")?,
        platform: setting!("platform", "GOOSEBERRYDYKE_PLATFORM").read(flags.platform)?,
        seeds: read_seeds(&seed_text).map_err(|why| seeds.error(why))?,
        stop_delay: setting!("stop-delay", "GOOSEBERRYDYKE_STOP_DELAY")
            .read_or(flags.stop_delay, "5s")?,
        stop_timeout: setting!("stop-timeout", "GOOSEBERRYDYKE_STOP_TIMEOUT")
            .read_or(flags.stop_timeout, "60s")?,
        limits,
        claim_pace: setting!("claim-pace", "GOOSEBERRYDYKE_CLAIM_PACE")
            .read_or(flags.claim_pace, "10ms")?,
        ca: read_ca(flags.ca_certificate, flags.ca_key)?,
    })
}

fn read_head_bytes(given: Option<String>) -> Result<usize, SettingError> {
    let setting = setting!("head-bytes", "GOOSEBERRYDYKE_HEAD_BYTES");
    let size = setting.read_or::<sizes::ByteSize>(given, "32768")?.get();
    if !(8 * 1024..=1024 * 1024).contains(&size) {
        return Err(setting.error(format!("{size} is refused: give 8192 to 1048576")));
    }
    Ok(usize::try_from(size).unwrap_or(usize::MAX))
}

fn read_seeds(text: &str) -> Result<Vec<Member>, String> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    parts.map(read_seed).collect()
}

fn read_seed(text: &str) -> Result<Member, String> {
    let wrong = || format!("{text:?} is refused: give NAME@ADDRESS@DATA-CENTRE");
    let mut parts = text.split('@');
    let (Some(node), Some(address), Some(centre), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(wrong());
    };
    Ok(Member {
        node: node.parse().map_err(|_| wrong())?,
        address: address.parse().map_err(|_| wrong())?,
        data_centre: centre.parse().map_err(|_| wrong())?,
        leaving: false,
        capacity: sizes::NodeCapacity::default(),
    })
}

fn read_ca(certificate: Option<String>, key: Option<String>) -> Result<FleetCa, SettingError> {
    let certificate_setting = setting!("ca-certificate", "GOOSEBERRYDYKE_CA_CERTIFICATE");
    let key_setting = setting!("ca-key", "GOOSEBERRYDYKE_CA_KEY");
    let certificate_path: String = certificate_setting.read(certificate)?;
    let key_path: String = key_setting.read(key)?;
    let read = |path: &str| std::fs::read_to_string(Path::new(path));
    let certificate = read(&certificate_path)
        .map_err(|why| certificate_setting.error(format!("{certificate_path}: {why}")))?;
    let key = read(&key_path).map_err(|why| key_setting.error(format!("{key_path}: {why}")))?;
    Ok(FleetCa {
        certificate: Arc::from(certificate),
        key: Arc::from(key),
    })
}
