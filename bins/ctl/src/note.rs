//! Notes that are stored with a publication and shown in the history.

use std::time::{SystemTime, UNIX_EPOCH};

use chervilgate_clients::ObjectStore;
use chervilgate_coord::{Expect, StoreCall, StoreReply};
use serde::{Deserialize, Serialize};

use crate::context::Context;

/// Who published, when and why. Only shown to operators; no process acts on it.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Note {
    /// Name of the operator, from the settings; may be empty.
    pub(crate) operator: String,
    /// Reason for the publication; may be empty.
    pub(crate) message: String,
    /// Time of the publication on the operator's clock, in seconds since 1970.
    pub(crate) at: u64,
}

impl Note {
    /// Creates a note with the settings' operator and the current time.
    pub(crate) fn now(context: &Context, message: &str) -> Note {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        Note { operator: context.settings.operator.clone(), message: message.to_owned(), at }
    }

    /// Stores the note. A failure is only logged, since the publication is already made.
    pub(crate) async fn save(&self, context: &Context, number: u64) {
        let value = serde_json::to_vec(self).expect("strings and integers always serialize");
        let call = StoreCall::Put { key: note_key(number), expect: Expect::Absent, value };
        let reply = context.platform.call(&call).await;
        if !matches!(reply, StoreReply::Written(_)) {
            log::warn!(target: "history", number; "publication note not stored");
        }
    }

    /// Reads a publication's note; `None` if there is none or it cannot be read.
    pub(crate) async fn load(context: &Context, number: u64) -> Option<Note> {
        let reply = context.platform.call(&StoreCall::Get { key: note_key(number) }).await;
        let StoreReply::Found(Some(object)) = reply else { return None };
        serde_json::from_slice(&object.value).ok()
    }

    /// Time since the note was written, such as "5 min ago".
    pub(crate) fn age(&self) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        match now.saturating_sub(self.at) {
            age @ 0..=119 => format!("{age} s ago"),
            age @ 120..=7_199 => format!("{} min ago", age / 60),
            age @ 7_200..=172_799 => format!("{} h ago", age / 3_600),
            age => format!("{} d ago", age / 86_400),
        }
    }
}

fn note_key(number: u64) -> String {
    format!("history/{number}")
}
