//! Runs a stand-in as a process of its own, for tests and trials only.

use std::net::SocketAddr;
use std::process::ExitCode;

use gooseberrydyke_standin::fault_proxy::FaultProxy;
use gooseberrydyke_standin::platform_api::PlatformStandin;
use gooseberrydyke_standin::upstream_server::{Behaviour, GrayMode, RunLedger, UpstreamStandin};
use model::settings::SettingError;
use model::{setting, span};

mod flags {
    xflags::xflags! {
        /// Runs a stand-in of the platform or of an upstream, or a proxy that injects faults.
        cmd gooseberrydyke-standin {
            /// Run a stand-in of the platform: objects, watches and the VM list
            cmd platform {
                /// Address to listen on, default 127.0.0.1:9600 [GOOSEBERRYDYKE_STANDIN]
                optional --listen listen: String
                /// Latency of each call, default 2ms [GOOSEBERRYDYKE_STANDIN_DELAY]
                optional --delay delay: String
            }
            /// Run a stand-in of an upstream
            cmd upstream {
                /// Address to listen on, default 127.0.0.1:9701 [GOOSEBERRYDYKE_STANDIN]
                optional --listen listen: String
                /// Mean time that each request takes, default 5ms [GOOSEBERRYDYKE_STANDIN_DELAY]
                optional --delay delay: String
                /// Maximum number of requests that run at the same time, default 4 [GOOSEBERRYDYKE_STANDIN_SLOTS]
                optional --slots slots: String
                /// Gray failure: none, errors, slow, hang or truncate, default none [GOOSEBERRYDYKE_STANDIN_GRAY]
                optional --gray gray: String
                /// Time after the start during which requests take longer, default 0ms [GOOSEBERRYDYKE_STANDIN_COLD]
                optional --cold cold: String
            }
            /// Run a proxy that injects faults in front of another address
            cmd proxy {
                /// Address to listen on, default 127.0.0.1:9801 [GOOSEBERRYDYKE_STANDIN]
                optional --listen listen: String
                /// Address that connections are forwarded to [GOOSEBERRYDYKE_STANDIN_TARGET]
                optional --target target: String
                /// Delay of forwarded data, default 0ms [GOOSEBERRYDYKE_STANDIN_DELAY]
                optional --delay delay: String
                /// Upper limit of the random time added to the delay, default 0ms [GOOSEBERRYDYKE_STANDIN_JITTER]
                optional --jitter jitter: String
                /// Drop all data sent to the target
                optional --drop-forward
                /// Drop all data received from the target
                optional --drop-back
            }
        }
    }
}

use flags::{GooseberrydykeStandin, GooseberrydykeStandinCmd, Platform, Proxy, Upstream};

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Seed of the random generators of the stand-ins.
const SEED: u64 = 7;

/// Why a stand-in could not start or wait for its end.
#[derive(Debug)]
enum RunError {
    Setting(SettingError),
    Io(std::io::Error),
}

impl From<SettingError> for RunError {
    fn from(error: SettingError) -> Self {
        Self::Setting(error)
    }
}

impl From<std::io::Error> for RunError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = GooseberrydykeStandin::from_env_or_exit();
    let result = match flags.subcommand {
        GooseberrydykeStandinCmd::Platform(flags) => run_platform(flags).await,
        GooseberrydykeStandinCmd::Upstream(flags) => run_upstream(flags).await,
        GooseberrydykeStandinCmd::Proxy(flags) => run_proxy(flags).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(RunError::Setting(error)) => {
            eprintln!("gooseberrydyke-standin: {error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        Err(RunError::Io(error)) => {
            eprintln!("gooseberrydyke-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_delay(given: Option<String>, default: &str) -> Result<span::TimeSpan, SettingError> {
    setting!("delay", "GOOSEBERRYDYKE_STANDIN_DELAY").read_or(given, default)
}

fn read_listen(given: Option<String>, default: &str) -> Result<SocketAddr, SettingError> {
    setting!("listen", "GOOSEBERRYDYKE_STANDIN").read_or(given, default)
}

async fn run_platform(flags: Platform) -> Result<(), RunError> {
    let address = read_listen(flags.listen, "127.0.0.1:9600")?;
    let delay = read_delay(flags.delay, "2ms")?;
    let standin = PlatformStandin::start(address, delay.get()).await?;
    println!("platform {}", standin.address());
    wait_for_stop_signal().await
}

async fn run_upstream(flags: Upstream) -> Result<(), RunError> {
    let address = read_listen(flags.listen, "127.0.0.1:9701")?;
    let slots = setting!("slots", "GOOSEBERRYDYKE_STANDIN_SLOTS");
    let gray = setting!("gray", "GOOSEBERRYDYKE_STANDIN_GRAY");
    let cold = setting!("cold", "GOOSEBERRYDYKE_STANDIN_COLD");
    let behaviour = Behaviour {
        service_time: read_delay(flags.delay, "5ms")?.get(),
        slots: slots.read_or(flags.slots, "4")?,
        gray: gray.read_or::<GrayMode>(flags.gray, "none")?,
        cold_duration: cold.read_or::<span::TimeSpan>(flags.cold, "0ms")?.get(),
        ..Behaviour::default()
    };
    let standin = UpstreamStandin::start(address, behaviour, RunLedger::start(), SEED).await?;
    println!("upstream {}", standin.address());
    wait_for_stop_signal().await
}

async fn run_proxy(flags: Proxy) -> Result<(), RunError> {
    let address = read_listen(flags.listen, "127.0.0.1:9801")?;
    let target = setting!("target", "GOOSEBERRYDYKE_STANDIN_TARGET").read(flags.target)?;
    let delay = read_delay(flags.delay, "0ms")?;
    let jitter: span::TimeSpan =
        setting!("jitter", "GOOSEBERRYDYKE_STANDIN_JITTER").read_or(flags.jitter, "0ms")?;
    let proxy = FaultProxy::start(address, target, SEED).await?;
    proxy.change_faults(|faults| {
        faults.delay = delay.get();
        faults.jitter = jitter.get();
        faults.drop_forward = flags.drop_forward;
        faults.drop_back = flags.drop_back;
    });
    println!("proxy {}", proxy.address());
    wait_for_stop_signal().await
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_stop_signal() -> Result<(), RunError> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
