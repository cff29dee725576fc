//! A short soak of the program, and the seeds that once broke a promise.

use std::{path::PathBuf, time::Duration};

use chervilgate_soak::{CALM, Soak};

fn soak(seed: u64) -> Soak {
    Soak {
        program: env!("CARGO_BIN_EXE_chervilgate-host").into(),
        out: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
        seed,
        length: CALM + Duration::from_secs(10),
        hosts: 3,
        callers: 6,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_faults_strike() {
    let soak = soak(1);

    let report = soak.run().await.unwrap();

    assert!(report.faults >= 4, "{} faults", report.faults);
    assert!(report.ends.get("200").is_some_and(|count| *count > 100), "{:?}", report.ends);
    assert_eq!(report.breaches, [""; 0], "logs: {}", soak.out.display());
}
