//! The options `--dry-run` and `--yes`, which decide whether a change is made.

use bpaf::Bpaf;
use serde_json::{Value, json};

use crate::{
    output::{Exit, Output},
    wrapped_text::WrappedText,
};

#[derive(Debug, Clone, Copy)]
#[derive(Bpaf)]
pub(crate) struct Consent {
    /// Shows what would change and changes nothing
    #[bpaf(short('n'), long)]
    dry_run: bool,
    /// Makes the change even if it is risky
    #[bpaf(short, long)]
    yes: bool,
}

/// Whether a change needs confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Risk {
    /// Easily undone; made without `--yes`.
    Small,
    /// Hard to undo or affects many requests; needs `--yes`.
    Large,
}

impl Consent {
    /// Returns the output with which the command ends here, or `None` if the change
    /// is to be made.
    pub(crate) fn stop_unless_given(
        self,
        risk: Risk,
        plan: &WrappedText,
        json: &Value,
    ) -> Option<Output> {
        let (exit, note) = match (self.dry_run, self.yes, risk) {
            (true, _, _) => (Exit::Success, "dry run: nothing was changed"),
            (_, false, Risk::Large) => (Exit::Risky, "nothing was changed; add --yes to proceed"),
            _ => return None,
        };
        let mut text = plan.clone();
        text.push_line(note);
        Some(Output { text, json: json!({ "would": json, "note": note }), exit })
    }
}
