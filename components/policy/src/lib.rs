//! Serving decisions: routing, admission, fairness, roles and spending.
//!
//! Nothing here does I/O or reads a clock: each function that decides takes the
//! present time, and a random generator where it samples. Daemons and the
//! experiment tool run the same code.

mod admission;
mod ids;
mod refusal;
mod request;
mod roles;
mod router;
mod spending;
mod target;

pub use crate::{
    admission::{Action, Queue, QueueSettings, Share},
    ids::{BlockHash, HostId, OrgId, ServiceId, TargetId, Ticket, Zone},
    refusal::{Reason, Refusal},
    request::{BLOCK_TOKENS, Priority, Request},
    roles::{Demand, Member, RoleChange, RolePlanner, RoleSettings},
    router::{CacheChange, CacheEvent, Fetch, Outcome, Route, RouteSettings, Router},
    spending::{Change, Fleet, Order, SpendSettings, TargetPlanner},
    target::{Kind, LoadReport, Role, Specs, State, Target},
};
