//! `rollback`: publishes an earlier configuration again.

use chervilgate_model::Origins;
use chervilgate_publication::read_config;

use crate::{
    answer::{Answer, Failure},
    change::Draft,
    cmd::history::find,
    consent::{Consent, Risk},
    session::Session,
};

pub(super) async fn run(
    session: &Session,
    consent: Consent,
    number: Option<u64>,
) -> Result<Answer, Failure> {
    let present = session.published().await?;
    let last = present.root.publication().map_or(0, |last| last.number);
    let number = number.unwrap_or(last.saturating_sub(1));
    if last == 0 || number == 0 {
        return Err(Failure::new("there is no earlier publication", "see `history`"));
    }
    let publication = find(&present, number)?;
    let mut config = read_config(&session.platform, publication.manifest).await?;
    // Keys issued since stay valid, and no withdrawal is undone.
    config.keys = present.config.keys.clone();

    let message = format!("rollback to #{number}");
    let draft = Draft { session, present: &present, config, message };
    draft.check(&Origins::default())?;
    draft.publish(consent, Risk::Large).await
}
