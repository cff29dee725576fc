//! The cases.

mod again;
mod drain;
mod forget;
mod parts;
mod poison;
mod sound;
mod stop;
mod versions;

use std::{io, time::Duration};

use crate::{host::Host, Lab};

pub fn run(name: &str, lab: &Lab) -> io::Result<bool> {
    match name {
        "versions" => versions::run(lab),
        "stop" => stop::run(lab),
        "poison" => poison::run(lab),
        "drain" => drain::run(lab),
        "sound" => sound::run(lab),
        "forget" => forget::run(lab),
        "again" => again::run(lab),
        "parts" => parts::run(lab),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Writes the first config: a route of each kind.
fn write_config(lab: &Lab) {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout: u32, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"service\":\"{service}\",\"attempts\":{attempts},\
             \"timeout_ms\":{timeout},\"target_latency_ms\":300,\"priority\":1{more}}}"
        )
    };
    let stream = ",\"resumable\":true,\"sticky\":true,\"target_gap_ms\":250";
    let routes = [
        route("ask", "streaming", "llm", 2, 6000, stream),
        route("book", "non_idempotent", "app", 1, 1000, ""),
        route("read", "safe", "app", 2, 1000, ""),
    ];
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[\
         {{\"name\":\"llm\",\"connection_limit\":370}},{{\"name\":\"app\",\"connection_limit\":110}}],\
         \"tenants\":[{{\"name\":\"org-1\",\"api_keys\":[\"k1\"]}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    );
    lab.store.put("config", "main", &config);
}

/// Starts the hosts and waits until all are ready and know each other.
fn start_hosts(lab: &Lab, count: u8) -> io::Result<Vec<Host>> {
    let zones = ["z-a", "z-b", "z-c"];
    let mut hosts = Vec::new();
    for index in 0..count {
        let zone = zones[usize::from(index) % zones.len()];
        hosts.push(Host::start(lab.net, index, zone, &lab.root, &lab.temp)?);
    }
    for host in &mut hosts {
        host.wait_ready(Duration::from_secs(20))?;
    }
    // Traffic starts some seconds after the machines do.
    std::thread::sleep(Duration::from_secs(8));
    lab.record.note(&format!("{count} hosts are ready"));
    Ok(hosts)
}
