//! Where the connection of an attempt comes from.

model::text_enum! {
    /// Where the connection of an attempt comes from.
    pub enum ConnectionOrigin {
        /// An idle connection.
        Reused = "reused",
        /// A new one, since no idle one was usable.
        Opened = "opened",
        /// A new one, since each usable idle one had carried the id of the request.
        OpenedForId = "opened-for-id",
    }
}
