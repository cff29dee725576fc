//! `apply`: publishes the objects in files.

use std::path::PathBuf;

use chervilgate_model::read_files;
use chervilgate_settings::Report;

use crate::{
    change::ConfigChange,
    cmd::diff::merge_files,
    consent::{Consent, Risk},
    context::Context,
    output::{Failure, Output},
};

pub(super) async fn run(
    context: &Context,
    consent: Consent,
    prune: bool,
    message: &str,
    paths: &[PathBuf],
) -> Result<Output, Failure> {
    let files = read_files(paths);
    let current = context.published().await?;
    let config = merge_files(&files, &current, prune);
    // Reports findings of the files and of the merged configuration together, so
    // that one run lists them all.
    if let Some(report) = Report::from_findings(files.check(&config)) {
        return Err(report.into());
    }
    let change = ConfigChange { context, current: &current, config, message: message.to_owned() };
    change.check(&files.origins)?;
    change.publish(consent, Risk::Large).await
}
