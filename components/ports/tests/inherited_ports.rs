//! Ports that are handed out while other threads start processes.

use std::{
    net::{TcpListener, UdpSocket},
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use chervilgate_ports::free_addr;

/// Threads that start processes, and ports that are handed out beside them; fewer than a process has.
const STARTER_COUNT: usize = 8;
const PORT_COUNT: usize = 400;

/// Starts processes of this program, which list its tests and end, until `stop` is true.
fn start_processes(stop: &AtomicBool) {
    let program = std::env::current_exe().unwrap();
    while !stop.load(Ordering::Relaxed) {
        let mut list_tests = Command::new(&program);
        let status = list_tests.arg("--list").stdout(Stdio::null()).status().unwrap();
        assert!(status.success(), "{} ended with {status}", program.display());
    }
}

// A starting process kept a copy of the socket that had found the port free.
#[test]
fn a_port_can_be_bound_while_processes_start() {
    let stop = AtomicBool::new(false);

    let taken = thread::scope(|scope| {
        for _ in 0..STARTER_COUNT {
            scope.spawn(|| start_processes(&stop));
        }
        let addrs = (0..PORT_COUNT).map(|_| free_addr().unwrap());
        let taken: Vec<_> = addrs
            .filter(|addr| TcpListener::bind(addr).and(UdpSocket::bind(addr)).is_err())
            .collect();
        stop.store(true, Ordering::Relaxed);
        taken
    });

    assert_eq!(taken, []);
}
