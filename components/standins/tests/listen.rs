//! Start and stop of fake servers.

use std::{
    net::{SocketAddr, TcpStream},
    sync::Arc,
};

use async_trait::async_trait;
use chervilgate_clients::{Body, body::empty};
use chervilgate_ports::free_addr;
use chervilgate_serve::Handler;
use chervilgate_standins::FakeServer;
use hyper::{Request, Response, body::Incoming};

struct EmptyAnswers;

#[async_trait]
impl Handler for EmptyAnswers {
    async fn handle(&self, _peer: SocketAddr, _request: Request<Incoming>) -> Response<Body> {
        Response::new(empty())
    }
}

// Guards against tests that still reach a server which they have stopped.
#[test]
fn a_server_that_was_dropped_takes_no_connections() {
    let mut reached = 0;
    for _ in 0..50 {
        // No other test and no connection gets a port of these.
        let addr = free_addr().expect("a free port");
        let server = FakeServer::start(Arc::new(EmptyAnswers), addr.port()).expect("the port");
        TcpStream::connect(addr).expect("a connection");

        drop(server);

        reached += usize::from(TcpStream::connect(addr).is_ok());
    }
    assert_eq!(reached, 0);
}
