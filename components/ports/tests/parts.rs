//! Ports of test processes that run at the same time.

use std::{net::TcpListener, process};

use chervilgate_ports::free_addr;

/// First port that test processes use, ports in the part of each, and number of parts.
const FIRST_PORT: u32 = 20_000;
const PART_SIZE: u32 = 500;
const PART_COUNT: u32 = 24;

// Two processes whose ids lead to the same part gave the same port to their hosts.
#[test]
fn a_port_does_not_come_from_a_part_that_another_process_holds() {
    let first_port = FIRST_PORT + process::id() % PART_COUNT * PART_SIZE;
    // Binding fails if another process already holds the part.
    let held = TcpListener::bind(("127.0.0.1", first_port as u16));

    let addr = free_addr().unwrap();

    let part = first_port..first_port + PART_SIZE;
    assert!(!part.contains(&u32::from(addr.port())), "{addr} lies in {part:?}");
    drop(held);
}
