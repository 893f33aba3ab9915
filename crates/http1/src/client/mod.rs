//! Outgoing connections, each owned by a task that receives requests as messages.

mod connection;
mod head_limit;
mod response_body;

pub use connection::{Connection, ExchangeError, OpenError, ReusableConnection, open};
pub use head_limit::ReadLimit;
pub use response_body::ResponseBody;
