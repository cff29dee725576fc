//! The metrics that a statsd daemon receives over UDP.

use std::{
    net::{Ipv4Addr, UdpSocket},
    time::{Duration, Instant},
};

use chervilgate_telemetry::{Metrics, RequestOutcome};

#[test]
fn can_count_requests_by_their_end() {
    let daemon = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
    daemon.set_read_timeout(Some(Duration::from_millis(200))).expect("a time-out");
    let metrics = Metrics::statsd(daemon.local_addr().expect("an address")).expect("metrics");

    metrics.count_request(RequestOutcome::NotRun);
    metrics.count_tokens(7);
    let until = Instant::now() + Duration::from_secs(30);
    let mut text = String::new();
    while !text.contains("tokens") && Instant::now() < until {
        metrics.flush();
        let mut buffer = [0; 1_024];
        if let Ok(length) = daemon.recv(&mut buffer) {
            text += &String::from_utf8_lossy(&buffer[..length]);
        }
    }

    assert!(text.contains("chervilgate.entry.requests:1|c|#end:not-run"), "{text}");
    assert!(text.contains("chervilgate.entry.tokens:7|c"), "{text}");
}
