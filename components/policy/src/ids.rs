//! Integer identifiers for use in policy decisions.
//!
//! Daemons map the names in the published configuration to these numbers once, so that
//! decisions compare integers and copy no strings.

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A target: an engine or a runner of a plain service.
    TargetId(u32)
);
id!(
    /// An entry host.
    HostId(u32)
);
id!(
    /// An organisation.
    OrgId(u32)
);
id!(
    /// A service: a model or an application that runs on targets.
    ServiceId(u32)
);
id!(
    /// An availability zone.
    Zone(u8)
);
id!(
    /// A request that is open on one host; unique while it is open.
    Ticket(u64)
);
id!(
    /// The hash of a prompt block chained with all blocks before it.
    BlockHash(u64)
);
