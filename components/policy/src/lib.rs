//! Policy decisions for serving: routing, admission, fair queueing, engine roles and scaling.
//!
//! The crate does no I/O and reads no clock. Functions that decide take the current time, and
//! a random generator if they sample, so the daemons and the load simulator run the same
//! code.

mod admission;
mod ids;
mod meter;
mod poison;
mod prefix;
mod refusal;
mod request;
mod retry;
mod roles;
mod router;
mod spending;
mod stream;
mod subset;
mod target;

pub use crate::{
    admission::{Action, Actions, FairShare, Queue, QueueSettings},
    ids::{BlockHash, HostId, OrgId, ServiceId, TargetId, Ticket, Zone},
    meter::{Demand, Meter},
    poison::{AffectedRequest, CrashId, Notice, Poison, PoisonSettings, Standing},
    prefix::{CacheChange, CacheEvent},
    refusal::{Reason, Refusal},
    request::{BLOCK_TOKENS, Fingerprint, Priority, Request},
    retry::{HedgeTimer, RetryBudget, RetrySettings},
    roles::{Member, RoleChange, RolePlanner, RoleSettings},
    router::{KvFetch, Outcome, Route, RouteSettings, Router, Running},
    spending::{Change, Fleet, Order, Orders, Paid, SpendSettings, TargetPlanner, Work},
    stream::{AttemptNo, Delivery, Resume, StreamTable},
    subset::{Place, choose_view},
    target::{Kind, LoadReport, Role, Specs, State, Target},
};
