//! Benchmarks one routing decision at three fleet sizes.

use std::{hint::black_box, sync::Arc};

use chervilgate_clock::Time;
use chervilgate_policy::{
    BlockHash, CacheChange, CacheEvent, LoadReport, OrgId, PricingClass, Priority, Request, Role,
    RouteSettings, Router, ServiceId, Target, TargetId, TargetSpecs, TargetState, Zone,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Number of targets: the current fleet, one service at design size, and the whole fleet at
/// design size.
const FLEETS: [u32; 3] = [15, 100, 610];

/// Prefix blocks per prompt.
const BLOCKS: u64 = 24;

fn router(targets: u32, rng: &mut Pcg64) -> Router {
    let mut router = Router::new(RouteSettings::default());
    for id in 0..targets {
        let role = match id % 3 {
            0 => Role::Prefill,
            1 => Role::Decode,
            _ => Role::Mixed,
        };
        let target = Target {
            id: TargetId(id),
            role,
            zone: Zone((id % 6) as u8),
            kind: PricingClass::Steady,
            state: TargetState::Serving,
            specs: TargetSpecs::default(),
        };
        router.set_target(Time::ZERO, target);
        let report = LoadReport {
            running: rng.random_range(0..40),
            prompt_queue: rng.random_range(0..1_000),
            ..LoadReport::default()
        };
        router.report(Time::ZERO, TargetId(id), report);
        let change = CacheChange::Stored(blocks(3));
        router.cache_event(&CacheEvent { target: TargetId(id), seq: 0, change });
    }
    router
}

fn blocks(conversation: u64) -> Arc<[BlockHash]> {
    (0..BLOCKS).map(|block| BlockHash(conversation << 32 | block)).collect()
}

fn request(conversation: u64) -> Request {
    Request {
        org: OrgId(1),
        service: ServiceId(1),
        prompt_tokens: 1_600,
        output_tokens: 250,
        prefix: blocks(conversation),
        deadline: Time::from_millis(870),
        priority: Priority::Normal,
        idempotent: true,
        digest: conversation,
        suspect: false,
    }
}

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for targets in FLEETS {
        let mut rng = Pcg64::seed_from_u64(1);
        let router = router(targets, &mut rng);
        let requests = [("cached", request(3)), ("uncached", request(1_000))];
        for (name, request) in requests {
            group.bench_with_input(BenchmarkId::new(name, targets), &request, |b, request| {
                b.iter(|| router.route(Time::ZERO, black_box(request), &[], &mut rng));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, route);
criterion_main!(benches);
