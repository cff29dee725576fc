//! The list of entries, as registered in the platform's store.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use chervilgate_coord::Incarnation;
use serde::{Deserialize, Serialize};

/// Key prefix of members' records in the platform's store.
pub(crate) const MEMBER_PREFIX: &str = "members/";

/// An entry's record, written by the entry itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Member {
    pub host: String,
    pub zone: String,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// Identifies the process; new after each restart.
    pub incarnation: Incarnation,
    /// Identifies its table of idempotency keys; callers' scopes refer to it.
    pub(crate) memory: Incarnation,
    /// Whether it is shutting down and must not be located any more.
    pub leaving: bool,
}

/// The members as of the last refresh.
#[derive(Debug, Default)]
pub(crate) struct Members {
    list: Mutex<Vec<Member>>,
}

impl Members {
    pub(crate) fn set(&self, list: Vec<Member>) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list;
    }

    pub(crate) fn all(&self) -> Vec<Member> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The members that are not leaving, those in `zone` first.
    pub(crate) fn list_available(&self, zone: &str) -> Vec<Member> {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let mut available: Vec<Member> =
            list.iter().filter(|member| !member.leaving).cloned().collect();
        available.sort_by_key(|member| member.zone != zone);
        available
    }
}
