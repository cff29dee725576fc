//! The commands, one module each.

mod apply;
mod cert;
mod check;
mod diff;
mod drain;
mod explain;
mod history;
mod hosts;
mod key;
mod release;
mod rollback;
mod status;
mod targets;

use crate::{
    context::Context,
    options::Command,
    output::{Failure, Output},
};

/// Runs a command.
///
/// # Errors
/// If the command failed; says what to do next.
pub(crate) async fn run(command: &Command) -> Result<Output, Failure> {
    match command {
        Command::Check { paths, .. } => return check::run(paths),
        Command::Cert(command) => return cert::run(command),
        Command::Explain(options) => return explain::run(options).await,
        _ => {}
    }
    let context = Context::open(&command.common().settings)?;
    match command {
        Command::Check { paths, .. } => check::run(paths),
        Command::Cert(command) => cert::run(command),
        Command::Explain(options) => explain::run(options).await,
        Command::Status { .. } => status::run(&context).await,
        Command::Diff { paths, prune, .. } => diff::run(&context, paths, *prune).await,
        Command::Apply { consent, prune, message, paths, .. } => {
            apply::run(&context, *consent, *prune, message, paths).await
        }
        Command::History { number, .. } => history::run(&context, *number).await,
        Command::Rollback { consent, number, .. } => {
            rollback::run(&context, *consent, *number).await
        }
        Command::Hosts { .. } => hosts::run(&context).await,
        Command::Targets { service, .. } => targets::run(&context, service.as_deref()).await,
        Command::Drain { consent, target, .. } => drain::start(&context, *consent, target).await,
        Command::Undrain { consent, target, .. } => drain::end(&context, *consent, target).await,
        Command::Key(command) => key::run(&context, command).await,
        Command::Release { consent, incarnation, .. } => {
            release::run(&context, *consent, incarnation.as_deref()).await
        }
    }
}
