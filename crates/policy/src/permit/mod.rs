//! Rate limits that upstreams name in their responses.

mod signal;

pub use signal::LimitSignal;
