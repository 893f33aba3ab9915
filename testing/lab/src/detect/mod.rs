//! Detection of gray failures: the real decision structs under the paused clock,
//! beside baselines, fed by one scripted upstream function.

mod baselines;
mod cases;
mod ours;
mod script;
mod subject;
mod world;

pub(crate) use cases::run;
pub(crate) use world::parse as name;
