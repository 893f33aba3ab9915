//! The platform's list of the VMs that run entry nodes.

use std::net::SocketAddr;

use model::ids;

model::text_enum! {
    /// The lifecycle state of a VM.
    pub enum VmState {
        /// The VM is running.
        Live = "live",
        /// The VM is about to stop.
        Leaving = "leaving",
    }
}

model::record! {
    /// One VM that runs an entry node.
    #[derive(Eq)]
    pub struct Vm {
        /// The node that runs on the VM.
        pub node: ids::NodeId,
        /// The address at which other nodes reach it.
        pub address: SocketAddr,
        /// The data centre of the VM.
        pub data_centre: ids::DataCentreId,
        /// Whether the VM is about to stop.
        pub state: VmState,
    }
}
