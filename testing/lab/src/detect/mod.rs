//! Detection of gray failures: the production decision code and the baselines, run under
//! the paused clock against the same simulated upstreams.

mod baselines;
mod cases;
mod fault_model;
mod fleet;
mod simulation;
mod subject;

pub(crate) use cases::run;
pub(crate) use simulation::parse_id;
