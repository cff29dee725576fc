//! The waiting requests of one priority, by organisation.
//!
//! Organisations take turns by their tags, the work that was served to each over its weight. Among
//! those within [`TAG_WINDOW`] of the smallest tag the most pressing request comes first, so that
//! shares are kept over some requests and single requests are served by their time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;

use crate::{
    OrgId, Ticket,
    admission::{TAG_SCALE, Tag},
    dispatch::WaitingRequest,
};

/// Cost, in tokens at weight 1, within which organisations count as equally served: a few of the
/// largest prompts.
const SHARE_WINDOW_TOKENS: u64 = 50_000;

/// The same in units of tags.
const TAG_WINDOW: Tag = SHARE_WINDOW_TOKENS * TAG_SCALE as Tag;

/// Maximum number of organisations that are compared for a start.
const MAX_COMPARED_ORGS: usize = 16;

/// The waiting requests of one organisation.
#[derive(Debug, Clone, Default)]
struct OrgRequests {
    tag: Tag,
    /// Predicted time of its requests, one after another.
    work: Duration,
    by_time: BTreeSet<(Time, Ticket)>,
}

/// Requests of one priority that can all still be on time, or are all late.
#[derive(Debug, Clone, Default)]
pub(super) struct Lane {
    orgs: BTreeMap<OrgId, OrgRequests>,
    by_tag: BTreeSet<(Tag, OrgId)>,
    len: usize,
    work: Duration,
    bytes: usize,
}

impl Lane {
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Predicted time of all requests, one after another.
    pub(super) fn work(&self) -> Duration {
        self.work
    }

    /// Predicted time of the requests that start before a new one of `org`, whose turns others take only
    /// until they have had as much as it.
    pub(super) fn work_before(&self, org: OrgId, work: Duration) -> Duration {
        let own = self.orgs.get(&org).map_or(Duration::ZERO, |own| own.work);
        let others = self.orgs.iter().filter(|(other, _)| **other != org);
        own + others.map(|(_, other)| other.work.min(own + work)).sum::<Duration>()
    }

    /// Size of all bodies.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a request that is ordered by `at`; `tag` is that of its organisation.
    pub(super) fn insert(&mut self, ticket: Ticket, request: &WaitingRequest, at: Time, tag: Tag) {
        let org = self.orgs.entry(request.org).or_default();
        if org.by_time.is_empty() {
            org.tag = tag;
            self.by_tag.insert((tag, request.org));
        }
        org.by_time.insert((at, ticket));
        org.work += request.work;
        self.len += 1;
        self.work += request.work;
        self.bytes += request.bytes;
    }

    /// Removes a request that is ordered by `at`.
    pub(super) fn remove(&mut self, ticket: Ticket, request: &WaitingRequest, at: Time) {
        let Some(org) = self.orgs.get_mut(&request.org) else { return };
        if !org.by_time.remove(&(at, ticket)) {
            return;
        }
        org.work = org.work.saturating_sub(request.work);
        if org.by_time.is_empty() {
            self.by_tag.remove(&(org.tag, request.org));
            self.orgs.remove(&request.org);
        }
        self.len -= 1;
        self.work = self.work.saturating_sub(request.work);
        self.bytes -= request.bytes;
    }

    /// Moves an organisation whose tag has changed.
    pub(super) fn update_tag(&mut self, id: OrgId, tag: Tag) {
        let Some(org) = self.orgs.get_mut(&id) else { return };
        self.by_tag.remove(&(org.tag, id));
        org.tag = tag;
        self.by_tag.insert((tag, id));
    }

    /// The request that starts next.
    pub(super) fn next(&self) -> Option<Ticket> {
        let (smallest, _) = self.by_tag.first()?;
        let end = smallest.saturating_add(TAG_WINDOW);
        let orgs = self.by_tag.iter().take(MAX_COMPARED_ORGS).take_while(|(tag, _)| *tag <= end);
        let firsts = orgs.filter_map(|(_, org)| self.orgs.get(org)?.by_time.first());
        firsts.min().map(|(_, ticket)| *ticket)
    }

    /// The request that leaves first when the queue is full: the least pressing one of the
    /// organisation that was served most.
    pub(super) fn last(&self) -> Option<Ticket> {
        let (_, org) = self.by_tag.last()?;
        self.orgs.get(org)?.by_time.last().map(|(_, ticket)| *ticket)
    }
}
