//! Serving decisions: routing, admission, fairness, roles and spending.
//!
//! Nothing here does I/O or reads a clock: each function that decides takes the
//! present time, and a random generator where it samples. Daemons and the
//! experiment tool run the same code.

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
mod target;
mod view;

pub use crate::{
    admission::{Action, Actions, Queue, QueueSettings, Share},
    ids::{BlockHash, HostId, OrgId, ServiceId, TargetId, Ticket, Zone},
    meter::{Demand, Meter},
    poison::{CrashId, Notice, Poison, PoisonSettings, Run, Standing},
    prefix::{CacheChange, CacheEvent},
    refusal::{Reason, Refusal},
    request::{BLOCK_TOKENS, Fingerprint, Priority, Request},
    retry::{Hedge, RetryBudget, RetrySettings},
    roles::{Member, RoleChange, RolePlanner, RoleSettings},
    router::{Fetch, Outcome, Route, RouteSettings, Router, Running},
    spending::{Change, Fleet, Order, Orders, Paid, SpendSettings, TargetPlanner, Work},
    stream::{AttemptNo, Delivery, Resume, Streams},
    target::{Kind, LoadReport, Role, Specs, State, Target},
    view::{Place, choose_view},
};
