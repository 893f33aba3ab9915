//! The command line of the lab.

/// The options that all experiments share.
#[derive(Debug, Clone)]
pub(crate) struct LabSettings {
    /// Seed of all random draws.
    pub(crate) seed: u64,
    /// Whether the report is printed as JSON, one object per line.
    pub(crate) json: bool,
    /// Length or amount of the measurement; the `run` function of each experiment says which.
    pub(crate) seconds: u64,
}

pub(crate) mod flags {
    xflags::xflags! {
        /// Measures the decisions and the costs of the fleet and compares them with baselines
        cmd gooseberrydyke-lab {
            /// Seed of all random draws, default 7
            optional --seed seed: u64
            /// Length of the measurement in seconds; runs of each case for detect
            optional --seconds seconds: u64
            /// Print JSON, one object per line
            optional --json
            /// Detection of gray failures, compared with baselines
            cmd detect {}
            /// Latency added by an entry node, and its throughput
            cmd overhead {}
            /// Keyed requests under kills, pauses and outages; 25000 requests for each second
            cmd once-only {}
            /// Cost of claims at a batcher, extrapolated to the target size
            cmd claims {}
            /// Time until a change is in force on every node; one change for each second
            cmd config {}
            /// Cost of the control plane at a node, extrapolated to the target size
            cmd control {}
            /// Load far above the capacity, and the loss of half of the upstreams
            cmd storm {}
        }
    }
}
