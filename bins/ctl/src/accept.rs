//! Whether a change is accepted: held by the platform and by a majority.

use std::time::Duration;

use chervilgate_clock::{BootClock, Clock};
use chervilgate_coord::{
    Incarnation,
    view::{Acceptance, Root, Seq},
};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    answer::Exit,
    entries::{Asked, EntryState, ask_all},
    screen::Screen,
    session::Session,
};

/// Pause between two looks at the entries.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// How far a change has come.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct Standing {
    /// The number of the root that made it.
    pub(crate) view: u64,
    /// Whether it holds from now on whatever fails.
    pub(crate) accepted: bool,
    /// Entries that hold it.
    pub(crate) held: usize,
    /// Entries asked.
    pub(crate) asked: usize,
}

/// Waits until the change that made `root` is accepted, or time is over.
pub(crate) async fn wait_accepted(session: &Session, root: &Root) -> Standing {
    let until = BootClock.now() + session.settings.accept_limit;
    loop {
        let asked = ask_all(&session.pool, &session.settings.entries).await;
        let standing = judge(root, &asked);
        if standing.accepted || BootClock.now() >= until {
            return standing;
        }
        sleep(LOOK_PAUSE).await;
    }
}

/// Judges by what the entries say.
pub(crate) fn judge(root: &Root, asked: &[Asked<EntryState>]) -> Standing {
    let states = || asked.iter().filter_map(|asked| asked.state.as_ref().ok());
    let held = states().filter(|state| state.view.seq >= root.seq.0).count();
    let accepted = if root.voters.current.is_empty() {
        held * 2 > asked.len()
    } else {
        let mut acceptance = Acceptance::default();
        for state in states() {
            if let Ok(incarnation) = u64::from_str_radix(&state.incarnation, 16) {
                acceptance.note_held(Incarnation(incarnation), Seq(state.view.seq));
            }
        }
        acceptance.accepts(&root.voters, root.seq)
    };
    Standing { view: root.seq.0, accepted, held, asked: asked.len() }
}

impl Standing {
    /// Says how far it has come.
    pub(crate) fn describe(&self, text: &mut Screen) -> Exit {
        let Standing { held, asked, .. } = self;
        if self.accepted {
            text.line(format!("accepted: {held} of {asked} entries hold it"));
            return Exit::Done;
        }
        text.line(format!("NOT YET ACCEPTED: {held} of {asked} entries hold it"))
            .line("It stands in the platform and is not undone, but entries that have not met it go on as before.")
            .line("next: run `chervilgatectl status` until it is accepted");
        Exit::Pending
    }
}
