//! The settings of an entry node, read from flags and environment variables.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use caller::CallerLimits;
use model::settings::SettingError;
use model::{ids, setting, sizes, span};
use node::keys::FleetCa;
use policy::membership::Member;
use telemetry::logs::{LogFormat, LogLevel};

/// Settings of an entry node.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The node's id, unique in the fleet.
    pub node: ids::NodeId,
    /// The data centre in which the node runs.
    pub data_centre: ids::DataCentreId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other nodes, over UDP.
    pub node_address: SocketAddr,
    /// Address for operators, metrics scrapers and readiness checks.
    pub ops_address: SocketAddr,
    /// Address of the platform's API.
    pub platform_address: SocketAddr,
    /// Nodes known at the start, before the platform lists the VMs.
    pub seeds: Vec<Member>,
    /// The certificate authority that issues the certificates of all nodes.
    pub ca: FleetCa,
    /// How long a stopping node still accepts connections, until the load balancer has
    /// noticed that it is no longer ready.
    pub stop_delay: span::TimeSpan,
    /// How long a stopping node then waits for requests in flight.
    pub stop_timeout: span::TimeSpan,
    /// Limits on connections and requests of callers.
    pub limits: CallerLimits,
    /// Minimum time between two updates of a claim shard.
    pub claim_interval: span::TimeSpan,
}

/// Settings of the process: those of the node and of the log.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Settings of the node.
    pub entry: EntrySettings,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
}

mod flags {
    xflags::xflags! {
        /// Runs one entry node of the fleet. Each flag can also be set through the environment variable in brackets.
        cmd gooseberrydyke-entry {
            /// Id of this node, unique in the fleet [GOOSEBERRYDYKE_NODE]
            optional --node node: String
            /// Data centre in which this node runs [GOOSEBERRYDYKE_DATA_CENTRE]
            optional --data-centre data_centre: String
            /// Address for callers; 0.0.0.0:8080 by default [GOOSEBERRYDYKE_CALLERS]
            optional --callers callers: String
            /// Address for other nodes, over UDP; 0.0.0.0:7400 by default [GOOSEBERRYDYKE_NODES]
            optional --nodes nodes: String
            /// Address for operators, metrics scrapers and readiness checks; 127.0.0.1:9400 by default [GOOSEBERRYDYKE_OPS]
            optional --ops ops: String
            /// Address of the platform's API [GOOSEBERRYDYKE_PLATFORM]
            optional --platform platform: String
            /// Nodes known at the start, as a comma-separated list of NAME@ADDRESS@DATA-CENTRE [GOOSEBERRYDYKE_SEEDS]
            optional --seeds seeds: String
            /// PEM file with the certificate of the fleet's CA [GOOSEBERRYDYKE_CA_CERTIFICATE]
            optional --ca-certificate ca_certificate: String
            /// PEM file with the private key of the fleet's CA [GOOSEBERRYDYKE_CA_KEY]
            optional --ca-key ca_key: String
            /// How long a stopping node still accepts connections; 5s by default [GOOSEBERRYDYKE_STOP_DELAY]
            optional --stop-delay stop_delay: String
            /// How long a stopping node waits for requests in flight; 60s by default [GOOSEBERRYDYKE_STOP_TIMEOUT]
            optional --stop-timeout stop_timeout: String
            /// Maximum number of connections from callers, 1 to 1000000; 10000 by default [GOOSEBERRYDYKE_CALLER_CONNECTIONS]
            optional --caller-connections caller_connections: String
            /// Maximum size of a request head in bytes, 8192 to 1048576; 32768 by default [GOOSEBERRYDYKE_HEAD_BYTES]
            optional --head-bytes head_bytes: String
            /// Timeout for receiving a request head; 15s by default [GOOSEBERRYDYKE_HEAD_TIMEOUT]
            optional --head-timeout head_timeout: String
            /// Minimum time between two updates of a claim shard; 10ms by default [GOOSEBERRYDYKE_CLAIM_PACE]
            optional --claim-pace claim_pace: String
            /// Log format, text or json; text by default [GOOSEBERRYDYKE_LOG_FORMAT]
            optional --log-format log_format: String
            /// Least severe level that is logged: error, warn, info or debug; info by default [GOOSEBERRYDYKE_LOG_LEVEL]
            optional --log-level log_level: String
        }
    }
}

/// Reads the command line and the environment; exits the process on `--help` or an
/// invalid command line.
///
/// # Errors
/// [`SettingError`] with the setting's names, the invalid value and the allowed ones.
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
        platform_address: setting!("platform", "GOOSEBERRYDYKE_PLATFORM").read(flags.platform)?,
        seeds: read_seeds(&seed_text).map_err(|error| seeds.error(error))?,
        stop_delay: setting!("stop-delay", "GOOSEBERRYDYKE_STOP_DELAY")
            .read_or(flags.stop_delay, "5s")?,
        stop_timeout: setting!("stop-timeout", "GOOSEBERRYDYKE_STOP_TIMEOUT")
            .read_or(flags.stop_timeout, "60s")?,
        limits,
        claim_interval: setting!("claim-pace", "GOOSEBERRYDYKE_CLAIM_PACE")
            .read_or(flags.claim_pace, "10ms")?,
        ca: read_ca(flags.ca_certificate, flags.ca_key)?,
    })
}

fn read_head_bytes(given: Option<String>) -> Result<usize, SettingError> {
    let setting = setting!("head-bytes", "GOOSEBERRYDYKE_HEAD_BYTES");
    let size = setting.read_or::<sizes::ByteSize>(given, "32768")?.get();
    if !(8 * 1024..=1024 * 1024).contains(&size) {
        return Err(setting.error(format!("{size} is invalid: expected 8192 to 1048576")));
    }
    Ok(usize::try_from(size).unwrap_or(usize::MAX))
}

/// Decodes a comma-separated list of nodes; empty entries are skipped.
fn read_seeds(text: &str) -> Result<Vec<Member>, String> {
    let entries = text
        .split(',')
        .map(str::trim)
        .filter(|entry| !entry.is_empty());
    entries.map(read_seed).collect()
}

/// Decodes one node, written as `NAME@ADDRESS@DATA-CENTRE`.
fn read_seed(text: &str) -> Result<Member, String> {
    let invalid = || format!("{text:?} is invalid: expected NAME@ADDRESS@DATA-CENTRE");
    let mut parts = text.split('@');
    let (Some(node), Some(address), Some(data_centre), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(invalid());
    };
    Ok(Member {
        node: node.parse().map_err(|_| invalid())?,
        address: address.parse().map_err(|_| invalid())?,
        data_centre: data_centre.parse().map_err(|_| invalid())?,
        leaving: false,
        capacity: sizes::NodeCapacity::default(),
    })
}

fn read_ca(certificate: Option<String>, key: Option<String>) -> Result<FleetCa, SettingError> {
    let certificate_setting = setting!("ca-certificate", "GOOSEBERRYDYKE_CA_CERTIFICATE");
    let key_setting = setting!("ca-key", "GOOSEBERRYDYKE_CA_KEY");
    let certificate_path: String = certificate_setting.read(certificate)?;
    let key_path: String = key_setting.read(key)?;
    let read_file = |path: &str| std::fs::read_to_string(Path::new(path));
    let certificate = read_file(&certificate_path)
        .map_err(|error| certificate_setting.error(format!("{certificate_path}: {error}")))?;
    let key =
        read_file(&key_path).map_err(|error| key_setting.error(format!("{key_path}: {error}")))?;
    Ok(FleetCa {
        certificate: Arc::from(certificate),
        key: Arc::from(key),
    })
}
