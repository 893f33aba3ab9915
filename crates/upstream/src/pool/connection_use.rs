//! Which connection an attempt uses.

use model::sizes;

/// A connection and how many exchanges it had completed when an attempt began to use it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionUse {
    /// Its local port; 0 without a connection.
    pub local_port: sizes::LocalPort,
    /// The exchanges before the attempt.
    pub exchanges: sizes::ExchangeCount,
}
