//! The commands, one a module.

mod apply;
mod cert;
mod check;
mod diff;
mod drain;
mod history;
mod hosts;
mod key;
mod release;
mod rollback;
mod status;
mod targets;

use crate::{
    answer::{Answer, Failure},
    options::Command,
    session::Session,
};

/// Runs a command.
///
/// # Errors
/// If it could not do what was asked.
pub(crate) async fn run(command: &Command) -> Result<Answer, Failure> {
    match command {
        Command::Check { paths, .. } => return check::run(paths),
        Command::Cert(command) => return cert::run(command),
        _ => {}
    }
    let session = Session::open(&command.common().settings)?;
    match command {
        Command::Check { paths, .. } => check::run(paths),
        Command::Cert(command) => cert::run(command),
        Command::Status { .. } => status::run(&session).await,
        Command::Diff { paths, prune, .. } => diff::run(&session, paths, *prune).await,
        Command::Apply { consent, prune, message, paths, .. } => {
            apply::run(&session, *consent, *prune, message, paths).await
        }
        Command::History { number, .. } => history::run(&session, *number).await,
        Command::Rollback { consent, number, .. } => {
            rollback::run(&session, *consent, *number).await
        }
        Command::Hosts { .. } => hosts::run(&session).await,
        Command::Targets { service, .. } => targets::run(&session, service.as_deref()).await,
        Command::Drain { consent, target, .. } => drain::begin(&session, *consent, target).await,
        Command::Undrain { consent, target, .. } => drain::end(&session, *consent, target).await,
        Command::Key(command) => key::run(&session, command).await,
        Command::Release { consent, incarnation, .. } => {
            release::run(&session, *consent, incarnation.as_deref()).await
        }
    }
}
