//! The deployments and loads that the simulation plays.

use std::time::Duration;

use chervilgate_engines::{Profile, RoleLimits};

/// Time limit of callers that wait for as long as a run takes.
const PATIENT_MS: u64 = 60_000;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    /// Requests per second outside bursts, and the factor in bursts.
    pub(crate) rate: (f64, f64),
    /// Shared and own prompt tokens.
    pub(crate) prompt: (u32, u32),
    pub(crate) output: u32,
    pub(crate) latency_target_ms: u64,
    /// Time for which callers wait.
    pub(crate) limit_ms: u64,
    /// Scheduling priority; 0 is the highest.
    pub(crate) priority: u8,
    /// Number of shared parts.
    pub(crate) parts: u64,
    /// Whether they may run only once.
    pub(crate) runs_once: bool,
}

/// A deployment and its load.
#[derive(Debug, Clone)]
pub(crate) struct Sheet {
    pub(crate) hosts: usize,
    pub(crate) prefill_engines: usize,
    pub(crate) decode_engines: usize,
    pub(crate) profile: Profile,
    /// Relative speeds of the engines, in rotation.
    pub(crate) speeds: &'static [f64],
    /// Whether engines import prompt prefixes from each other.
    pub(crate) imports: bool,
    /// Longest pause between two events of a stream that is on time, and tokens in an event.
    pub(crate) max_pause: Duration,
    pub(crate) event_tokens: u32,
    /// Start and end of the burst.
    pub(crate) burst: (Duration, Duration),
    pub(crate) classes: &'static [Class],
}

impl Sheet {
    /// Half of tbilisi-arrivals-grown.
    pub(crate) fn reports() -> Sheet {
        const CLASSES: [Class; 3] = [
            Class {
                name: "monthly-report",
                rate: (37.0, 1.0),
                prompt: (13_300, 3_720),
                output: 10,
                latency_target_ms: 600,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 30,
                runs_once: false,
            },
            Class {
                name: "border-batch",
                rate: (30.0, 1.0),
                prompt: (6_300, 2_890),
                output: 4,
                latency_target_ms: 500,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 30,
                runs_once: false,
            },
            Class {
                name: "quick-query",
                rate: (63.0, 1.0),
                prompt: (350, 1_110),
                output: 14,
                latency_target_ms: 300,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 60,
                runs_once: false,
            },
        ];
        Sheet {
            hosts: 37,
            prefill_engines: 15,
            decode_engines: 30,
            profile: Profile::reference(),
            speeds: &[1.0],
            imports: false,
            max_pause: Duration::from_millis(250),
            event_tokens: 1,
            burst: (Duration::ZERO, Duration::ZERO),
            classes: &CLASSES,
        }
    }

    /// Half of the engines and requests of deployment A (docs/hard-load.md), without plain services.
    pub(crate) fn uneven(imports: bool) -> Sheet {
        const CLASSES: [Class; 3] = [
            Class {
                name: "long",
                rate: (38.0, 1.0),
                prompt: (13_300, 3_720),
                output: 15,
                latency_target_ms: 600,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 30,
                runs_once: false,
            },
            Class {
                name: "middle",
                rate: (29.0, 1.0),
                prompt: (6_300, 2_890),
                output: 7,
                latency_target_ms: 1_000,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 30,
                runs_once: false,
            },
            Class {
                name: "short",
                rate: (53.0, 1.0),
                prompt: (350, 1_110),
                output: 22,
                latency_target_ms: 1_200,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 60,
                runs_once: false,
            },
        ];
        let engine = Profile::reference();
        let step = Duration::from_micros(5_950);
        // Attention makes long prompts slower than the 19.7 us a token of short ones.
        let profile = Profile {
            prefill_ns: 26_000,
            prefill: RoleLimits { base: step, ..engine.prefill },
            decode: RoleLimits { base: step, ..engine.decode },
            kv_tokens: 444_196,
            cache_blocks: 444_196 / 64,
            ..engine
        };
        Sheet {
            hosts: 42,
            prefill_engines: 16,
            decode_engines: 29,
            profile,
            speeds: &[0.6, 1.0, 1.6],
            imports,
            max_pause: Duration::from_millis(250),
            event_tokens: 8,
            burst: (Duration::ZERO, Duration::ZERO),
            classes: &CLASSES,
        }
    }

    /// Deployment B (docs/hard-load.md), without plain services.
    pub(crate) fn many_hosts() -> Sheet {
        const CLASSES: [Class; 3] = [
            Class {
                name: "long",
                rate: (91.0, 1.0),
                prompt: (13_300, 3_720),
                output: 9,
                latency_target_ms: 800,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 30,
                runs_once: false,
            },
            Class {
                name: "middle",
                rate: (69.0, 1.0),
                prompt: (6_300, 2_890),
                output: 4,
                latency_target_ms: 300,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 30,
                runs_once: true,
            },
            Class {
                name: "short",
                rate: (58.0, 1.0),
                prompt: (350, 1_110),
                output: 13,
                latency_target_ms: 250,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 60,
                runs_once: true,
            },
        ];
        let engine = Profile::reference();
        let step = Duration::from_micros(3_550);
        let profile = Profile {
            prefill_ns: 6_370,
            prefill: RoleLimits { base: step, ..engine.prefill },
            decode: RoleLimits { base: step, batch: 32, ..engine.decode },
            kv_tokens: 970_477,
            cache_blocks: 970_477 / 64,
            ..engine
        };
        Sheet {
            hosts: 89,
            prefill_engines: 32,
            decode_engines: 58,
            profile,
            speeds: &[1.0, 1.0, 1.3],
            imports: false,
            max_pause: Duration::from_millis(200),
            event_tokens: 8,
            burst: (Duration::ZERO, Duration::ZERO),
            classes: &CLASSES,
        }
    }

    /// Half of frasercold-bc-grown with all targets that can be ordered, and a burst of long
    /// prompts.
    pub(crate) fn long_prompt_burst() -> Sheet {
        const CLASSES: [Class; 2] = [
            Class {
                name: "spec-commission",
                rate: (43.0, 4.0),
                prompt: (13_300, 3_720),
                output: 15,
                latency_target_ms: 600,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 51,
                runs_once: false,
            },
            Class {
                name: "part-lookup",
                rate: (342.0, 0.4),
                prompt: (92, 291),
                output: 6,
                latency_target_ms: 300,
                limit_ms: PATIENT_MS,
                priority: 0,
                parts: 500,
                runs_once: false,
            },
        ];
        let engine = Profile::reference();
        let step = Duration::from_micros(5_950);
        // Attention makes long prompts slower than the 19.7 us a token of short ones.
        let profile = Profile {
            prefill_ns: 26_000,
            prefill: RoleLimits { base: step, ..engine.prefill },
            decode: RoleLimits { base: step, batch: 16, ..engine.decode },
            kv_tokens: 338_151,
            ..engine
        };
        Sheet {
            hosts: 29,
            prefill_engines: 20,
            decode_engines: 44,
            profile,
            speeds: &[1.0],
            imports: false,
            max_pause: Duration::from_millis(150),
            event_tokens: 8,
            burst: (Duration::from_secs(5), Duration::from_secs(8)),
            classes: &CLASSES,
        }
    }

    /// Half of deployment B, with as many engines as it keeps busy. The least urgent kind comes five
    /// times as often for some seconds.
    pub(crate) fn short_of_engines_b() -> Sheet {
        const CLASSES: [Class; 3] = [
            class("short", 29.0, 1.0, (350, 1_110), 13, (250, 5_000), 0),
            class("middle", 34.5, 1.0, (6_300, 2_890), 4, (300, 3_000), 1),
            class("long", 45.5, 5.0, (13_300, 3_720), 9, (800, 5_000), 2),
        ];
        let engine = Profile::reference();
        let step = Duration::from_micros(3_550);
        let profile = Profile {
            prefill_ns: 6_370,
            prefill: RoleLimits { base: step, ..engine.prefill },
            decode: RoleLimits { base: step, batch: 32, ..engine.decode },
            kv_tokens: 970_477,
            token_bytes: 18_432,
            ..engine
        };
        Sheet {
            hosts: 45,
            prefill_engines: 6,
            decode_engines: 10,
            profile,
            speeds: &[1.0],
            imports: false,
            max_pause: Duration::from_millis(200),
            event_tokens: 1,
            burst: (Duration::from_secs(4), Duration::from_secs(9)),
            classes: &CLASSES,
        }
    }

    /// The same of deployment A.
    pub(crate) fn short_of_engines_a() -> Sheet {
        const CLASSES: [Class; 3] = [
            class("short", 53.0, 1.0, (350, 1_110), 22, (1_200, 8_000), 0),
            class("middle", 29.0, 1.0, (6_300, 2_890), 7, (1_000, 4_000), 1),
            class("long", 37.5, 5.0, (13_300, 3_720), 15, (600, 8_000), 2),
        ];
        let engine = Profile::reference();
        let step = Duration::from_micros(5_950);
        let profile = Profile {
            prefill_ns: 19_720,
            prefill: RoleLimits { base: step, ..engine.prefill },
            decode: RoleLimits { base: step, ..engine.decode },
            kv_tokens: 444_196,
            ..engine
        };
        Sheet {
            hosts: 42,
            prefill_engines: 12,
            decode_engines: 21,
            profile,
            speeds: &[1.0],
            imports: false,
            max_pause: Duration::from_millis(250),
            event_tokens: 1,
            burst: (Duration::from_secs(4), Duration::from_secs(9)),
            classes: &CLASSES,
        }
    }

    /// The same load without a burst, with the engines of half of the deployment.
    pub(crate) fn with_all_engines(self) -> Sheet {
        let burst = (Duration::ZERO, Duration::ZERO);
        Sheet { prefill_engines: 16, decode_engines: 29, burst, ..self }
    }
}

const fn class(
    name: &'static str,
    rate: f64,
    burst: f64,
    prompt: (u32, u32),
    output: u32,
    (latency_target_ms, limit_ms): (u64, u64),
    priority: u8,
) -> Class {
    let rate = (rate, burst);
    Class {
        name,
        rate,
        prompt,
        output,
        latency_target_ms,
        limit_ms,
        priority,
        parts: 30,
        runs_once: false,
    }
}
