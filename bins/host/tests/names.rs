//! Hosts that are all restarted while the store holds an entry under an odd name.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use chervilgate_clients::HttpPool;
use chervilgate_soak::{AMPLE_SLOTS, Fault, Fleet, RECOVERY_TIME, send_once};
use serde_json::json;
use tokio::time::sleep;

const HOSTS: usize = 3;

const ODD_NAMES: [&str; 5] = ["i-1&odd", "i-1+odd", "i-1#odd", "i-1%odd", "i-1 odd"];

/// Whether all hosts serve a request within the time in which a fleet recovers.
async fn all_serve(fleet: &mut Fleet) -> bool {
    let start = Instant::now();
    let pool = HttpPool::comparing_ids();
    while start.elapsed() < RECOVERY_TIME {
        fleet.supervise(Instant::now()).unwrap();
        let mut serving = 0;
        for (_, addr, _) in fleet.host_addrs() {
            let answer = send_once(&pool, addr, "served-1", "/safe/k1/x").await;
            serving += usize::from(answer.is_some_and(|(status, _)| status == 200));
        }
        if serving == HOSTS {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

// Guards against hosts that never serve after a restart because one entry of another writer, at the end
// of a page, keeps them from listing the targets.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_hosts_serve_beside_an_entry_with_an_odd_name() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("names");
    let program = Path::new(env!("CARGO_BIN_EXE_chervilgate-host"));
    let mut fleet = Fleet::start(program, HOSTS, AMPLE_SLOTS, false, &out).await.unwrap();
    assert!(all_serve(&mut fleet).await);
    fleet.store.set_paging(1, 0);

    let mut failed = Vec::new();
    for name in ODD_NAMES {
        fleet.store.put("servers", name, json!({"note": "written by hand"}));
        for host in 0..HOSTS {
            fleet.inject(Instant::now(), &Fault::Kill(host));
        }
        // The hosts must be gone before a request can show that new ones serve.
        sleep(Duration::from_millis(200)).await;
        if !all_serve(&mut fleet).await {
            failed.push(name);
        }
        fleet.store.remove("servers", name);
    }

    assert_eq!(failed, [""; 0], "logs: {}", out.display());
}
