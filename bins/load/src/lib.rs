//! Load tests and experiments.
//!
//! [`experiment`] runs the policy and its baselines in virtual time against engine models,
//! and compares them with an upper bound for any scheme. [`http`] sends load to a running
//! system and checks each answer byte for byte. [`capacity`] measures growth with size.

pub mod bound;
pub mod capacity;
pub mod cmd;
pub mod experiment;
pub mod http;
pub mod plot;
pub mod scenario;
pub mod scheme;
pub mod sim;
pub mod stats;
pub mod table;
pub mod workload;
