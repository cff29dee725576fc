//! `rollback`: publishes an earlier configuration again.

use chervilgate_model::Origins;
use chervilgate_publication::read_config;

use crate::{
    change::ConfigChange,
    cmd::history::find_publication,
    consent::{Consent, Risk},
    context::Context,
    output::{Failure, Output},
};

pub(super) async fn run(
    context: &Context,
    consent: Consent,
    number: Option<u64>,
) -> Result<Output, Failure> {
    let current = context.published().await?;
    let last = current.root.publication().map_or(0, |last| last.number);
    let number = number.unwrap_or(last.saturating_sub(1));
    if last == 0 || number == 0 {
        return Err(Failure::new("there is no earlier publication", "see `history`"));
    }
    let publication = find_publication(&current, number)?;
    let mut config = read_config(&context.platform, publication.manifest).await?;
    // Keeps the current keys: those issued since stay valid, and no withdrawal is undone.
    config.keys = current.config.keys.clone();

    let message = format!("rollback to #{number}");
    let change = ConfigChange { context, current: &current, config, message };
    change.check(&Origins::default())?;
    change.publish(consent, Risk::Large).await
}
