//! What a node says of itself.

use std::net::SocketAddr;

use model::{ids, sizes};

model::record! {
    /// A node of the fleet, as it describes itself to others.
    #[derive(Eq)]
    pub struct Member {
        /// The name of the node, unique in the fleet.
        pub node: ids::NodeId,
        /// The address on which it accepts connections from other nodes.
        pub address: SocketAddr,
        /// The data centre that it runs in.
        pub data_centre: ids::DataCentreId,
        /// Whether it is shutting down and takes no shared jobs.
        pub leaving: bool,
        /// Its capacity for shared jobs; 0 if unknown.
        pub capacity: sizes::NodeCapacity,
    }
}
