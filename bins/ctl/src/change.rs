//! Publishing a changed configuration.

use chervilgate_model::{Change, Config, Origins, check, check_change, diff};
use chervilgate_publication::Published;
use chervilgate_settings::{Report, Severity};
use serde_json::{Value, json};

use crate::{
    accept::wait_accepted,
    answer::{Answer, Exit, Failure},
    consent::{Consent, Risk},
    note::Note,
    screen::Screen,
    session::Session,
};

/// A configuration that is to follow the one in force.
pub(crate) struct Draft<'a> {
    pub(crate) session: &'a Session,
    pub(crate) present: &'a Published,
    pub(crate) config: Config,
    pub(crate) message: String,
}

impl Draft<'_> {
    /// What would change.
    pub(crate) fn changes(&self) -> Vec<Change> {
        diff(&self.present.config, &self.config)
    }

    /// Checks the step and the result.
    ///
    /// # Errors
    /// If there is something to mend.
    pub(crate) fn check(&self, origins: &Origins) -> Result<(), Failure> {
        let mut findings = check_change(&self.present.config, &self.config, origins);
        findings.extend(check(&self.config, origins));
        findings.retain(|finding| finding.severity == Severity::Error);
        Report::of(findings).map_or(Ok(()), |report| Err(report.into()))
    }

    /// Says what will change, publishes it and waits for its acceptance.
    pub(crate) async fn publish(&self, consent: Consent, risk: Risk) -> Result<Answer, Failure> {
        let changes = self.changes();
        let mut text = Screen::default();
        let next = self.present.root.publication().map_or(0, |last| last.number) + 1;
        if changes.is_empty() {
            text.line("nothing differs from what is in force");
            return Ok(Answer::done(text, json!({ "changes": changes })));
        }
        text.line(format!("to be published as #{next}:"));
        text.lines(&changes);
        if let Some(answer) = consent.withhold(risk, &text, &json!({ "changes": changes })) {
            return Ok(answer);
        }
        let (done, exit, json) = self.write(&changes).await?;
        text.append(done);
        Ok(Answer { text, json, exit })
    }

    async fn write(&self, changes: &[Change]) -> Result<(Screen, Exit, Value), Failure> {
        let base = self.present.manifest();
        let root = self.session.writer().publish(base, &self.config).await?;
        let number = root.publication().map_or(0, |publication| publication.number);
        Note::now(self.session, &self.message).save(self.session, number).await;

        let mut text = Screen::default();
        text.line(format!("published as #{number} (view {})", root.seq.0));
        let standing = wait_accepted(self.session, &root).await;
        let exit = standing.describe(&mut text);
        let json = json!({ "number": number, "standing": standing, "changes": changes });
        Ok((text, exit, json))
    }
}
