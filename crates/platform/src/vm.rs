//! The VM list.

use std::net::SocketAddr;

use model::ids;

model::text_enum! {
    /// Whether a VM stays.
    pub enum VmState {
        /// It runs.
        Live = "live",
        /// It is about to stop.
        Leaving = "leaving",
    }
}

model::record! {
    /// One entry VM as the platform lists it.
    #[derive(Eq)]
    pub struct Vm {
        /// The node on it.
        pub node: ids::NodeId,
        /// Where other nodes reach it.
        pub address: SocketAddr,
        /// The data centre it stands in.
        pub data_centre: ids::DataCentreId,
        /// Whether it stays.
        pub state: VmState,
    }
}
