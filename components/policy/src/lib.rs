//! Policy decisions for serving: routing, admission, fair queueing, engine roles and scaling.
//!
//! The crate does no I/O and reads no clock. Functions that decide take the current time, and
//! a random generator if they sample, so the daemons and the load simulator run the same
//! code.

mod admission;
pub mod demand;
mod dispatch;
mod ids;
mod limit;
mod meter;
mod outcomes;
mod poison;
mod prefix;
mod quota;
mod refusal;
mod repeat;
mod request;
mod retry;
mod roles;
mod router;
mod run_end;
mod speed;
mod spending;
mod stream;
mod subset;
mod suspects;
mod target;

pub use crate::{
    admission::{Actions, AdmissionQueue, FairShare, QueueAction, QueueSettings},
    dispatch::{
        DispatchLimits, DispatchQueue, FAIR_TURN_INTERVAL, Fit, Forecast, LatencyTargets,
        NextStart, Outlook, Refused, StartCheck, Supply, Turn, WaitingRequest, YieldReason,
        Yielded,
    },
    ids::{BlockHash, HostId, OrgId, ServiceId, TargetId, Ticket, Zone},
    limit::{ShareBudget, is_first_holder, share_of_limit},
    meter::{Demand, DemandMeter},
    outcomes::{OutcomeReport, TargetOutcomes},
    poison::{
        AffectedRequest, CrashId, CrashNotice, PoisonDetector, PoisonSettings, PoisonStatus,
        PoisonSubject,
    },
    prefix::{CacheChange, CacheEvent},
    quota::{
        AskStep, Asking, BucketStart, Charge, GRANT_LIFE, Holdings, KnownPartitions,
        QUOTA_PARTITIONS, QuotaBounds, QuotaBucket, QuotaReply, QuotaTerms,
    },
    refusal::{Refusal, RefusalReason},
    repeat::{RepeatBudget, RepeatSettings, SlackShare},
    request::{BLOCK_TOKENS, Fingerprint, Priority, Request},
    retry::{HedgeTimer, RetryBudget, RetrySettings},
    roles::{EngineStatus, RoleChange, RolePlanner, RoleSettings},
    router::{AttemptOutcome, KvFetch, Route, RouteSettings, Router, RunningAttempt},
    run_end::{ANSWER_DOUBT_TIME, BEGIN_TIME, DOUBT_TIME, OpenRuns, RunEnd, RunProof},
    speed::{GroupSpeed, SpeedReport, TargetSpeed},
    spending::{
        ListedFleet, OfferedLoad, OrderAction, PaidTarget, PlannedOrder, PlannedOrders,
        ScalingSettings, TargetPlanner,
    },
    stream::{AttemptNo, Delivery, Resume, StreamTable},
    subset::{TargetLocation, choose_subset},
    suspects::{
        KnownRun, LastAnswer, SuspectSettings, SuspectStatus, Suspects, Trial, request_digest,
    },
    target::{LoadReport, PricingClass, Role, Target, TargetSpecs, TargetState},
};
