//! A fake model engine with the OpenAI-compatible API.

mod answer;
mod api;
mod record;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

pub use self::record::EngineRecord;
use crate::FakeServer;

/// Settings of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// The model version it has loaded.
    pub model: String,
    /// `prefill`, `decode` or `mixed`.
    pub role: String,
    /// Whether it refuses orders whose epoch is older than the newest one seen.
    pub checks_fencing: bool,
    /// Time before the first token.
    pub prefill_time: Duration,
    /// Time between tokens.
    pub token_time: Duration,
    /// How long a role change takes.
    pub role_change_time: Duration,
}

impl Default for EngineSpec {
    fn default() -> EngineSpec {
        EngineSpec {
            model: "m1".to_owned(),
            role: "mixed".to_owned(),
            checks_fencing: true,
            prefill_time: Duration::from_millis(5),
            token_time: Duration::from_millis(2),
            role_change_time: Duration::from_millis(500),
        }
    }
}

/// Injected faults of an engine; the default has none.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Breaks each answer off after this many tokens.
    pub break_after: Option<u64>,
    /// Sends malformed JSON in place of the token at this index of each stream.
    pub malformed_at: Option<u64>,
    /// Answers carry a wrong request id.
    pub wrong_id: bool,
    /// Refuses each request with status 503 and its id.
    pub refuse: bool,
    /// Begins each request, then sends status 503 without a request id, as a late answer to
    /// another request would be.
    pub refusal_without_id: bool,
    /// A prompt that contains this text breaks off all running requests of the engine.
    pub crash_text: Option<String>,
    /// Extra delay before each answer.
    pub delay: Duration,
}

struct State {
    role: String,
    epoch: u64,
    faults: EngineFaults,
    record: EngineRecord,
    crashes: u64,
}

struct Shared {
    spec: EngineSpec,
    state: Mutex<State>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fake engine on a loopback port; dropping it stops it and breaks its connections.
pub struct EngineServer {
    shared: Arc<Shared>,
    server: FakeServer,
}

impl EngineServer {
    /// Starts an engine on `port`; zero picks a free one.
    pub fn start(spec: EngineSpec, port: u16) -> io::Result<EngineServer> {
        let state = State {
            role: spec.role.clone(),
            epoch: 0,
            faults: EngineFaults::default(),
            record: EngineRecord::default(),
            crashes: 0,
        };
        let shared = Arc::new(Shared { spec, state: Mutex::new(state) });
        let server = FakeServer::start(Arc::new(api::Api { shared: shared.clone() }), port)?;
        Ok(EngineServer { shared, server })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces its injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// A copy of what it has received so far.
    pub fn record(&self) -> EngineRecord {
        self.shared.lock().record.clone()
    }
}
