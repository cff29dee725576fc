//! Consent to a change.

use bpaf::Bpaf;
use serde_json::{Value, json};

use crate::{
    answer::{Answer, Exit},
    screen::Screen,
};

#[derive(Debug, Clone, Copy)]
#[derive(Bpaf)]
pub(crate) struct Consent {
    /// Shows what would change and changes nothing
    #[bpaf(short('n'), long)]
    dry_run: bool,
    /// Goes ahead with a risky change
    #[bpaf(short, long)]
    yes: bool,
}

/// How much a change may hurt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Risk {
    /// Easily undone.
    Small,
    /// Needs `--yes`.
    Large,
}

impl Consent {
    /// The answer that ends the command here, unless the change is to be made.
    pub(crate) fn withhold(self, risk: Risk, plan: &Screen, json: &Value) -> Option<Answer> {
        let (exit, note) = match (self.dry_run, self.yes, risk) {
            (true, _, _) => (Exit::Done, "dry run: nothing was changed"),
            (_, false, Risk::Large) => (Exit::Consent, "nothing was changed; add --yes to go on"),
            _ => return None,
        };
        let mut text = plan.clone();
        text.line(note);
        Some(Answer { text, json: json!({ "would": json, "note": note }), exit })
    }
}
