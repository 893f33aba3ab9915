//! The command line of the lab.

/// What every experiment takes.
#[derive(Debug, Clone)]
pub(crate) struct LabSettings {
    /// Seed of every random choice.
    pub(crate) seed: u64,
    /// Whether figures are printed as JSON lines.
    pub(crate) json: bool,
    /// How long or how much is measured; each experiment says what it means there.
    pub(crate) seconds: u64,
}

pub(crate) mod flags {
    xflags::xflags! {
        /// Measures the fleet's decisions and parts beside baselines.
        cmd gooseberrydyke-lab {
            /// Seed of every random choice, default 7
            optional --seed seed: u64
            /// Length of the measurement in seconds; runs of each case for detect
            optional --seconds seconds: u64
            /// One JSON object a line
            optional --json
            /// Gray failures found by the decision structs, beside baselines
            cmd detect {}
            /// Latency that an entry node adds, and its throughput
            cmd overhead {}
            /// Keyed requests while everything fails; 25000 requests for each second
            cmd once-only {}
            /// What claims cost a batcher, and what follows for the target size
            cmd claims {}
            /// Time until a change is in force everywhere; one change for each second
            cmd config {}
            /// What control costs a node, and what follows for the target size
            cmd control {}
            /// Load far above the capacity, and half of the upstreams lost
            cmd storm {}
        }
    }
}
