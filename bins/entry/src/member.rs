//! The entries that callers can be sent to.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use chervilgate_coord::Incarnation;
use serde::{Deserialize, Serialize};

/// Where members' records stand in the platform's store.
pub(crate) const MEMBER_PREFIX: &str = "members/";

/// An entry as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Member {
    /// The host's name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// The process.
    pub incarnation: Incarnation,
    /// Names its memory of idempotency keys.
    pub(crate) memory: Incarnation,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// The members as last heard of.
#[derive(Debug, Default)]
pub(crate) struct Members {
    list: Mutex<Vec<Member>>,
}

impl Members {
    /// Replaces the list.
    pub(crate) fn set(&self, list: Vec<Member>) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list;
    }

    /// Each member.
    pub(crate) fn all(&self) -> Vec<Member> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The members that stay, those of `zone` first.
    pub(crate) fn list_available(&self, zone: &str) -> Vec<Member> {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let mut available: Vec<Member> =
            list.iter().filter(|member| !member.leaving).cloned().collect();
        available.sort_by_key(|member| member.zone != zone);
        available
    }
}
