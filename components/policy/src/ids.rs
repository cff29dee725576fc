//! Compact identifiers.
//!
//! Daemons map the names of the published configuration to these numbers once,
//! so that a decision compares integers and copies no strings.

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
    /// An engine or a runner of a plain service.
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
    /// A service: a model or an application that targets run.
    ServiceId(u32)
);
id!(
    /// An availability zone.
    Zone(u8)
);
id!(
    /// One attempt at one request on one host; unique while it is open.
    Ticket(u64)
);
id!(
    /// The hash of one prompt block and of all blocks before it.
    BlockHash(u64)
);
