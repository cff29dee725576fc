//! A model engine that speaks the OpenAI-compatible API.

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
use crate::Standin;

/// How an engine is set up.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// The model version it has loaded.
    pub model: String,
    /// `prefill`, `decode` or `mixed`.
    pub role: String,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Time to the first token.
    pub prefill_time: Duration,
    /// Time between tokens.
    pub token_time: Duration,
    /// How long a change of role takes it away.
    pub change_time: Duration,
}

impl Default for EngineSpec {
    fn default() -> EngineSpec {
        EngineSpec {
            model: "m1".to_owned(),
            role: "mixed".to_owned(),
            checks_fencing: true,
            prefill_time: Duration::from_millis(5),
            token_time: Duration::from_millis(2),
            change_time: Duration::from_millis(500),
        }
    }
}

/// Faults of an engine; all off at first.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Breaks each stream after so many of its tokens.
    pub break_after: Option<u64>,
    /// Garbles the event of this token of each answer.
    pub garble_at: Option<u64>,
    /// Answers carry another request's id.
    pub cross_answers: bool,
    /// A prompt holding this text breaks every stream on the engine at once.
    pub poison: Option<String>,
    /// Time that each answer is held back.
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

/// An engine on a loopback port; dropping it kills it.
pub struct EngineStandin {
    shared: Arc<Shared>,
    standin: Standin,
}

impl EngineStandin {
    /// Starts an engine on `port`; zero picks a free one.
    pub fn start(spec: EngineSpec, port: u16) -> io::Result<EngineStandin> {
        let state = State {
            role: spec.role.clone(),
            epoch: 0,
            faults: EngineFaults::default(),
            record: EngineRecord::default(),
            crashes: 0,
        };
        let shared = Arc::new(Shared { spec, state: Mutex::new(state) });
        let standin = Standin::start(Arc::new(api::Api { shared: shared.clone() }), port)?;
        Ok(EngineStandin { shared, standin })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.standin.addr()
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// What has reached it so far.
    pub fn record(&self) -> EngineRecord {
        self.shared.lock().record.clone()
    }
}
