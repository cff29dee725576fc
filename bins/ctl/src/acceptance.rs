//! Checks whether a change is accepted: stored by the platform and held by a
//! majority of the entries.

use std::time::Duration;

use chervilgate_clock::{BootClock, Clock};
use chervilgate_coord::{
    Incarnation,
    view::{Acceptance, Root, Seq},
};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    admin::{AdminReply, EntryState, query_all},
    context::Context,
    output::Exit,
    wrapped_text::WrappedText,
};

/// Time between two queries of the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Which entries hold a change, and whether that makes it accepted.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct ChangeStatus {
    /// Sequence number of the root that contains the change.
    pub(crate) view: u64,
    /// Whether the change stays in force whatever fails later.
    pub(crate) accepted: bool,
    /// Number of entries that hold the change.
    pub(crate) held: usize,
    /// Number of entries queried, silent ones included.
    pub(crate) asked: usize,
}

/// Waits until the change that produced `root` is accepted, at most for the
/// `accept_limit` of the settings.
pub(crate) async fn wait_accepted(context: &Context, root: &Root) -> ChangeStatus {
    let deadline = BootClock.now() + context.settings.accept_limit;
    loop {
        let replies = query_all(&context.pool, &context.settings.entries).await;
        let status = change_status(root, &replies);
        if status.accepted || BootClock.now() >= deadline {
            return status;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Computes the status of the change that produced `root` from the entries' states.
///
/// Without voters in the root, a majority of the queried entries decides.
pub(crate) fn change_status(root: &Root, replies: &[AdminReply<EntryState>]) -> ChangeStatus {
    let states = || replies.iter().filter_map(|reply| reply.state.as_ref().ok());
    let held = states().filter(|state| state.view.seq >= root.seq.0).count();
    let accepted = if root.voters.current.is_empty() {
        held * 2 > replies.len()
    } else {
        let mut acceptance = Acceptance::default();
        for state in states() {
            if let Ok(incarnation) = u64::from_str_radix(&state.incarnation, 16) {
                acceptance.note_held(Incarnation(incarnation), Seq(state.view.seq));
            }
        }
        acceptance.accepts(&root.voters, root.seq)
    };
    ChangeStatus { view: root.seq.0, accepted, held, asked: replies.len() }
}

impl ChangeStatus {
    /// Appends the status to `text`; returns the exit code of the command.
    pub(crate) fn describe(&self, text: &mut WrappedText) -> Exit {
        let ChangeStatus { held, asked, .. } = self;
        if self.accepted {
            text.push_line(format!("accepted: {held} of {asked} entries hold it"));
            return Exit::Success;
        }
        text.push_line(format!("NOT YET ACCEPTED: {held} of {asked} entries hold it"))
            .push_line("The change is stored in the platform and stays, but entries that do not hold it yet go on as before.")
            .push_line("next: run `chervilgatectl status` until it is accepted");
        Exit::Pending
    }
}
