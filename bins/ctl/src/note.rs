//! Notes that operators leave with a publication.

use std::time::{SystemTime, UNIX_EPOCH};

use chervilgate_clients::ObjectStore;
use chervilgate_coord::{Expect, StoreCall, StoreReply};
use serde::{Deserialize, Serialize};

use crate::session::Session;

/// Who published, when and why; kept beside the publication, for people only.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Note {
    /// Who.
    pub(crate) operator: String,
    /// Why.
    pub(crate) message: String,
    /// When, in seconds since 1970 on the operator's clock.
    pub(crate) at: u64,
}

impl Note {
    /// A note of the operator at work.
    pub(crate) fn now(session: &Session, message: &str) -> Note {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        Note { operator: session.settings.operator.clone(), message: message.to_owned(), at }
    }

    /// Stores the note; a note that is lost is only missed in the history.
    pub(crate) async fn save(&self, session: &Session, number: u64) {
        let value = serde_json::to_vec(self).expect("texts and numbers have a JSON form");
        let call = StoreCall::Put { key: note_key(number), expect: Expect::Absent, value };
        let reply = session.platform.call(&call).await;
        if !matches!(reply, StoreReply::Written(_)) {
            log::warn!(target: "history", number; "note not stored");
        }
    }

    /// Reads a publication's note, if it has one.
    pub(crate) async fn load(session: &Session, number: u64) -> Option<Note> {
        let reply = session.platform.call(&StoreCall::Get { key: note_key(number) }).await;
        let StoreReply::Found(Some(object)) = reply else { return None };
        serde_json::from_slice(&object.value).ok()
    }

    /// How long ago it was left, in words.
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
