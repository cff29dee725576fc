//! The view: replicated state that must be the same on every node.
//!
//! A small object in the store, the root, holds the configuration in force
//! (by digest), the withdrawn keys, the draining targets and the voters. Each
//! write increments its sequence number, so views are totally ordered, and
//! a view contains every change that was accepted with a lower number.
//!
//! A change is accepted once the store and a majority of the voters hold it.
//! A node dispatches requests with an API key only while its view is confirmed:
//! by the platform through a chain of relays, or by a majority of the voters
//! recorded in its own view. Either way the view contains every accepted
//! change.
//!
//! Voters are identified by incarnation, not by address: nodes store nothing on
//! disk, so a restarted node has lost the view that it confirmed and must not
//! be counted.

mod acceptance;
mod blob;
mod freshness;
mod gossip;
mod heartbeat;
mod local_view;
mod manager;
mod overlay;
mod root;
mod snapshot;
mod watch;

pub use self::{
    acceptance::Acceptance,
    blob::{Blob, BlobError, Digest, MAX_BLOB_BYTES, blob_key},
    freshness::{Freshness, MAX_VIEW_AGE, ViewStatus},
    gossip::{Gossip, GossipAction, GossipActions},
    heartbeat::{Echo, Heartbeat, PeerMessage, VoterAge},
    local_view::{LocalView, OfferOutcome},
    manager::{ViewAction, ViewActions, ViewEvent, ViewManager},
    overlay::{Overlay, select_voters},
    root::{
        Draining, Edit, EditError, KeyHash, Publication, PublicationId, ROOT_KEY, Root, Seq,
        TargetName, Voters,
    },
    snapshot::{Manifest, PackedSnapshot, Snapshot, SnapshotError},
    watch::{RootWatch, WatchAction, WatchActions},
};
