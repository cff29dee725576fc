//! Load and experiments.
//!
//! [`experiment`] runs the policy and its baselines in virtual time against
//! engine models, and compares them with a bound that holds for any scheme. [`http`]
//! drives a running system and checks each answer byte for byte.

pub mod bound;
pub mod capacity;
pub mod cmd;
pub mod experiment;
pub mod http;
pub mod plot;
pub mod scenario;
pub mod scheme;
pub mod sim;
pub mod table;
pub mod tally;
pub mod workload;
