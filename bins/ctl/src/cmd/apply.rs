//! `apply`: publishes the objects in files.

use std::path::PathBuf;

use chervilgate_model::read_files;
use chervilgate_settings::Report;

use crate::{
    answer::{Answer, Failure},
    change::Draft,
    cmd::diff::merge,
    consent::{Consent, Risk},
    session::Session,
};

pub(super) async fn run(
    session: &Session,
    consent: Consent,
    prune: bool,
    message: &str,
    paths: &[PathBuf],
) -> Result<Answer, Failure> {
    let files = read_files(paths);
    let present = session.published().await?;
    let config = merge(&files, &present, prune);
    // The findings of files and whole together, so that one run names them all.
    if let Some(report) = Report::of(files.check(&config)) {
        return Err(report.into());
    }
    let draft = Draft { session, present: &present, config, message: message.to_owned() };
    draft.check(&files.origins)?;
    draft.publish(consent, Risk::Large).await
}
