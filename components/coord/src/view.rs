//! The view: what every node has to know alike.
//!
//! One small object in the platform, the root, holds the configuration in
//! force (by digest), the withdrawn keys, the draining targets and the voters.
//! Each write moves its number on by one, so that views are totally ordered
//! and a node that holds a number holds everything accepted before it.
//!
//! A change is accepted once the platform holds it and so does a majority of
//! the voters. A node dispatches keyed work only while its view is confirmed:
//! by the platform through a chain of relays, or by a majority of the voters
//! that its own view records. Either way it meets every accepted change.
//!
//! Voters are incarnations, not addresses. Nodes keep nothing, so a restarted
//! one has forgotten what it vouched for and must not be counted again.

mod acceptance;
mod beat;
mod blob;
mod freshness;
mod holder;
mod keeper;
mod overlay;
mod root;
mod snapshot;
mod spread;
mod watch;

pub use self::{
    acceptance::Acceptance,
    beat::{Beat, Echo, PeerMessage, VoterAge},
    blob::{Blob, BlobError, Digest, MAX_BLOB, blob_key},
    freshness::{FRESH_SPAN, Freshness, Verdict},
    holder::{Holder, Offer},
    keeper::{Keeper, KeeperAction, KeeperActions, KeeperEvent},
    overlay::{Overlay, elect_voters},
    root::{
        Draining, Edit, EditError, KeyHash, Publication, PublicationId, ROOT_KEY, Root, Seq,
        TargetName, Voters,
    },
    snapshot::{Manifest, Packed, Snapshot, SnapshotError},
    spread::{Spread, SpreadAction, SpreadActions},
    watch::{RootWatch, WatchAction, WatchActions},
};
