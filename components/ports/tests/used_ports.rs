//! Ports that others use.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use chervilgate_ports::free_addr;

#[test]
fn ports_that_are_in_use_are_passed_over() {
    let first = free_addr().unwrap();
    let next = |offset| SocketAddr::new(first.ip(), first.port() + offset);
    let _listener = TcpListener::bind(next(1)).unwrap();
    let _datagrams = UdpSocket::bind(next(2)).unwrap();

    let second = free_addr().unwrap();

    assert!(![next(1), next(2)].contains(&second), "{second} is in use");
}
