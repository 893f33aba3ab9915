//! The stand-ins as processes of their own, for tests and trials only.

use std::net::SocketAddr;
use std::process::ExitCode;

use gooseberrydyke_standin::fault_proxy::FaultProxy;
use gooseberrydyke_standin::platform_api::PlatformStandin;
use gooseberrydyke_standin::upstream_server::{Behaviour, GrayMode, RunLedger, UpstreamStandin};
use model::settings::SettingError;
use model::{setting, span};

mod flags {
    xflags::xflags! {
        /// Runs a stand-in of the platform, of an upstream, or a proxy that injects faults.
        cmd gooseberrydyke-standin {
            /// The platform: objects, watches and the VM list
            cmd platform {
                /// Address, default 127.0.0.1:9600 [GOOSEBERRYDYKE_STANDIN]
                optional --listen listen: String
                /// Time that each call takes, default 2ms [GOOSEBERRYDYKE_STANDIN_DELAY]
                optional --delay delay: String
            }
            /// An upstream
            cmd upstream {
                /// Address, default 127.0.0.1:9701 [GOOSEBERRYDYKE_STANDIN]
                optional --listen listen: String
                /// Time that each request takes, default 5ms [GOOSEBERRYDYKE_STANDIN_DELAY]
                optional --delay delay: String
                /// Requests at once, default 4 [GOOSEBERRYDYKE_STANDIN_SLOTS]
                optional --slots slots: String
                /// none, errors, slow, hang or truncate, default none [GOOSEBERRYDYKE_STANDIN_GRAY]
                optional --gray gray: String
                /// Slow for this long after the start, default 0ms [GOOSEBERRYDYKE_STANDIN_COLD]
                optional --cold cold: String
            }
            /// A proxy in front of another address
            cmd proxy {
                /// Address, default 127.0.0.1:9801 [GOOSEBERRYDYKE_STANDIN]
                optional --listen listen: String
                /// Where it leads [GOOSEBERRYDYKE_STANDIN_TARGET]
                optional --target target: String
                /// Time that data is held up, default 0ms [GOOSEBERRYDYKE_STANDIN_DELAY]
                optional --delay delay: String
                /// The most that is added at random, default 0ms [GOOSEBERRYDYKE_STANDIN_JITTER]
                optional --jitter jitter: String
                /// Drop everything towards the target
                optional --drop-forward
                /// Drop everything from the target
                optional --drop-back
            }
        }
    }
}

use flags::{GooseberrydykeStandin, GooseberrydykeStandinCmd, Platform, Proxy, Upstream};

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;
/// Seed of the stand-ins' random choices.
const SEED: u64 = 7;

/// What ended the process.
#[derive(Debug)]
enum EndError {
    Setting(SettingError),
    Io(std::io::Error),
}

impl From<SettingError> for EndError {
    fn from(error: SettingError) -> Self {
        Self::Setting(error)
    }
}

impl From<std::io::Error> for EndError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = GooseberrydykeStandin::from_env_or_exit();
    let result = match flags.subcommand {
        GooseberrydykeStandinCmd::Platform(flags) => platform(flags).await,
        GooseberrydykeStandinCmd::Upstream(flags) => upstream(flags).await,
        GooseberrydykeStandinCmd::Proxy(flags) => proxy(flags).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(EndError::Setting(error)) => {
            eprintln!("gooseberrydyke-standin: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
        Err(EndError::Io(error)) => {
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

async fn platform(flags: Platform) -> Result<(), EndError> {
    let address = read_listen(flags.listen, "127.0.0.1:9600")?;
    let delay = read_delay(flags.delay, "2ms")?;
    let standin = PlatformStandin::start(address, delay.get()).await?;
    println!("platform {}", standin.address());
    wait().await
}

async fn upstream(flags: Upstream) -> Result<(), EndError> {
    let address = read_listen(flags.listen, "127.0.0.1:9701")?;
    let slots = setting!("slots", "GOOSEBERRYDYKE_STANDIN_SLOTS");
    let gray = setting!("gray", "GOOSEBERRYDYKE_STANDIN_GRAY");
    let cold = setting!("cold", "GOOSEBERRYDYKE_STANDIN_COLD");
    let behaviour = Behaviour {
        service_time: read_delay(flags.delay, "5ms")?.get(),
        slots: slots.read_or(flags.slots, "4")?,
        gray: gray.read_or::<GrayMode>(flags.gray, "none")?,
        cold: cold.read_or::<span::TimeSpan>(flags.cold, "0ms")?.get(),
        ..Behaviour::default()
    };
    let standin = UpstreamStandin::start(address, behaviour, RunLedger::start(), SEED).await?;
    println!("upstream {}", standin.address());
    wait().await
}

async fn proxy(flags: Proxy) -> Result<(), EndError> {
    let address = read_listen(flags.listen, "127.0.0.1:9801")?;
    let target = setting!("target", "GOOSEBERRYDYKE_STANDIN_TARGET").read(flags.target)?;
    let delay = read_delay(flags.delay, "0ms")?;
    let jitter: span::TimeSpan =
        setting!("jitter", "GOOSEBERRYDYKE_STANDIN_JITTER").read_or(flags.jitter, "0ms")?;
    let proxy = FaultProxy::start(address, target, SEED).await?;
    proxy.change(|faults| {
        faults.delay = delay.get();
        faults.jitter = jitter.get();
        faults.drop_forward = flags.drop_forward;
        faults.drop_back = flags.drop_back;
    });
    println!("proxy {}", proxy.address());
    wait().await
}

/// Runs until the process is told to stop.
async fn wait() -> Result<(), EndError> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
