//! Publishes a changed configuration.

use chervilgate_model::{Change, Config, Origins, check, check_change, diff};
use chervilgate_publication::PublishedState;
use chervilgate_settings::{Report, Severity};
use serde_json::{Value, json};

use crate::{
    acceptance::wait_accepted,
    consent::{Consent, Risk},
    context::Context,
    note::Note,
    output::{Exit, Failure, Output},
    wrapped_text::WrappedText,
};

/// A configuration that is to replace the one in force.
pub(crate) struct ConfigChange<'a> {
    pub(crate) context: &'a Context,
    pub(crate) current: &'a PublishedState,
    pub(crate) config: Config,
    pub(crate) message: String,
}

impl ConfigChange<'_> {
    /// The differences from the configuration in force.
    pub(crate) fn changes(&self) -> Vec<Change> {
        diff(&self.current.config, &self.config)
    }

    /// Checks the transition from the configuration in force, and the new
    /// configuration as a whole.
    ///
    /// # Errors
    /// If either has errors. Warnings are ignored.
    pub(crate) fn check(&self, origins: &Origins) -> Result<(), Failure> {
        let mut findings = check_change(&self.current.config, &self.config, origins);
        findings.extend(check(&self.config, origins));
        findings.retain(|finding| finding.severity == Severity::Error);
        Report::from_findings(findings).map_or(Ok(()), |report| Err(report.into()))
    }

    /// Describes the changes, publishes them and waits until they are accepted.
    ///
    /// Nothing is published without changes or without consent.
    pub(crate) async fn publish(&self, consent: Consent, risk: Risk) -> Result<Output, Failure> {
        let changes = self.changes();
        let mut text = WrappedText::default();
        let next = self.current.root.publication().map_or(0, |last| last.number) + 1;
        if changes.is_empty() {
            text.push_line("nothing differs from what is in force");
            return Ok(Output::done(text, json!({ "changes": changes })));
        }
        text.push_line(format!("to be published as #{next}:"));
        text.push_lines(&changes);
        if let Some(output) = consent.stop_unless_given(risk, &text, &json!({ "changes": changes }))
        {
            return Ok(output);
        }
        let (done, exit, json) = self.publish_and_wait(&changes).await?;
        text.append(done);
        Ok(Output { text, json, exit })
    }

    async fn publish_and_wait(
        &self,
        changes: &[Change],
    ) -> Result<(WrappedText, Exit, Value), Failure> {
        let base = self.current.manifest();
        let root = self.context.writer().publish(base, &self.config).await?;
        let number = root.publication().map_or(0, |publication| publication.number);
        Note::now(self.context, &self.message).save(self.context, number).await;

        let mut text = WrappedText::default();
        text.push_line(format!("published as #{number} (view {})", root.seq.0));
        let status = wait_accepted(self.context, &root).await;
        let exit = status.describe(&mut text);
        let json = json!({ "number": number, "standing": status, "changes": changes });
        Ok((text, exit, json))
    }
}
