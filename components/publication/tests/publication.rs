//! Publishing to a stand-in of the platform, with and without store faults.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use async_trait::async_trait;
use chervilgate_clients::{HttpPlatform, ObjectStore};
use chervilgate_clock::BootClock;
use chervilgate_coord::{
    StoreCall, StoreReply,
    view::{Edit, KeyHash, ROOT_KEY},
};
use chervilgate_model::{Config, KeyError, Limits, Name, Object, Organisation, issue_key};
use chervilgate_publication::{RootWriter, WriteError, read_config, read_published};
use chervilgate_standins::{PlatformFaults, PlatformServer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn config(organisations: &[(&str, u32)]) -> Config {
    Config::from_objects(organisations.iter().map(|(label, weight)| {
        let limits = Limits::default();
        Object::Organisation(Organisation { name: name(label), weight: *weight, limits })
    }))
}

fn start() -> (PlatformServer, HttpPlatform) {
    let platform = PlatformServer::start(0).unwrap();
    let store = HttpPlatform::new(platform.addr());
    (platform, store)
}

/// A store that drops the reply to the first write of the root.
struct LossyStore {
    store: HttpPlatform,
    /// Whether all calls fail after that write.
    fails_after: bool,
    reply_lost: AtomicBool,
}

#[async_trait]
impl ObjectStore for LossyStore {
    async fn call(&self, call: &StoreCall) -> StoreReply {
        if self.fails_after && self.reply_lost.load(Ordering::Relaxed) {
            return StoreReply::Refused;
        }
        let reply = self.store.call(call).await;
        let root = matches!(call, StoreCall::Put { key, .. } if key == ROOT_KEY);
        if root && !self.reply_lost.swap(true, Ordering::Relaxed) {
            return StoreReply::Unknown;
        }
        reply
    }
}

/// Starts a store without objects that answers every write with status 504.
async fn serve_gateway_timeouts() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let length = conn.read(&mut request).await.unwrap_or(0);
            let status = if request[..length].starts_with(b"PUT") { 504 } else { 404 };
            let response =
                format!("HTTP/1.1 {status} Test\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            let _ = conn.write_all(response.as_bytes()).await;
        }
    });
    addr
}

fn writer(store: &HttpPlatform, timeout: Duration, seed: u64) -> RootWriter<'_> {
    RootWriter::new(store, &BootClock, timeout, seed)
}

#[tokio::test]
async fn can_publish_and_read_back() {
    let (_platform, store) = start();
    let first = config(&[("acme", 1)]);
    let second = config(&[("acme", 2), ("bora", 1)]);

    let root = writer(&store, TIMEOUT, 1).publish(None, &first).await.unwrap();
    let base = root.publication().map(|publication| publication.manifest);
    let root = writer(&store, TIMEOUT, 2).publish(base, &second).await.unwrap();

    let published = read_published(&store).await.unwrap();
    assert_eq!(published.config, second);
    assert_eq!(published.root, root);
    assert_eq!(root.publication().unwrap().number, 2);
    assert_eq!(read_config(&store, base.unwrap()).await.unwrap(), first);
}

#[tokio::test]
async fn errors_on_a_concurrent_publication_with_the_conflicting_objects() {
    let (_platform, store) = start();
    let base = config(&[("acme", 1), ("bora", 1)]);
    let root = writer(&store, TIMEOUT, 1).publish(None, &base).await.unwrap();
    let manifest = root.publication().map(|publication| publication.manifest);
    let winner = config(&[("acme", 7), ("bora", 1)]);
    writer(&store, TIMEOUT, 2).publish(manifest, &winner).await.unwrap();

    let loser = config(&[("acme", 1), ("bora", 9)]);
    let outcome = writer(&store, TIMEOUT, 3).publish(manifest, &loser).await;

    let Err(WriteError::Conflict { objects }) = outcome else { panic!("{outcome:?}") };
    assert_eq!(objects, ["organisation/acme"]);
    assert_eq!(read_published(&store).await.unwrap().config, winner);
}

#[tokio::test]
async fn applies_withdrawals_and_drains_to_the_configuration() {
    let (_platform, store) = start();
    let (secret, record) = issue_key(&name("acme"), |bytes| bytes.fill(3));
    let hash = KeyHash(*record.hash.as_bytes());
    let mut keyed = config(&[("acme", 1)]);
    keyed.insert(Object::Key(record));
    writer(&store, TIMEOUT, 1).publish(None, &keyed).await.unwrap();

    writer(&store, TIMEOUT, 2).edit(Edit::Withdraw([hash].into())).await.unwrap();
    writer(&store, TIMEOUT, 3).edit(Edit::Drain("t1".to_owned())).await.unwrap();

    let published = read_published(&store).await.unwrap();
    let in_force = published.effective_config();
    assert_eq!(in_force.verify_key(secret.expose()), Err(KeyError::Withdrawn));
    assert!(in_force.is_draining("t1"));
    assert!(published.config.verify_key(secret.expose()).is_ok());
}

#[tokio::test]
async fn errors_without_effect_while_the_store_is_down() {
    let (platform, store) = start();
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    let outcome = writer(&store, SHORT_TIMEOUT, 1).publish(None, &config(&[("acme", 1)])).await;

    assert!(matches!(outcome, Err(WriteError::NotApplied)), "{outcome:?}");
    platform.set_faults(PlatformFaults::default());
    assert!(read_published(&store).await.unwrap().manifest().is_none());
}

#[tokio::test]
async fn can_resolve_a_lost_answer() {
    let (_platform, store) = start();
    let lossy_store =
        LossyStore { store: store.clone(), fails_after: false, reply_lost: AtomicBool::new(false) };

    let writer = RootWriter::new(&lossy_store, &BootClock, TIMEOUT, 1);
    let root = writer.publish(None, &config(&[("acme", 1)])).await.unwrap();

    assert!(lossy_store.reply_lost.load(Ordering::Relaxed));
    assert_eq!(root.publication().unwrap().number, 1);
    assert_eq!(read_published(&store).await.unwrap().root, root);
}

#[tokio::test]
async fn errors_with_unknown_outcome_when_the_store_fails_after_a_write() {
    let (_platform, store) = start();
    let lossy_store =
        LossyStore { store: store.clone(), fails_after: true, reply_lost: AtomicBool::new(false) };

    let writer = RootWriter::new(&lossy_store, &BootClock, SHORT_TIMEOUT, 1);
    let outcome = writer.publish(None, &config(&[("acme", 1)])).await;

    assert!(matches!(outcome, Err(WriteError::OutcomeUnknown)), "{outcome:?}");
    assert_eq!(read_published(&store).await.unwrap().root.publication().unwrap().number, 1);
}

#[tokio::test]
async fn an_edit_that_the_platform_answered_with_504_is_not_reported_as_not_made() {
    let store = HttpPlatform::new(serve_gateway_timeouts().await);

    let outcome = writer(&store, SHORT_TIMEOUT, 1).edit(Edit::Drain("t1".to_owned())).await;

    assert!(matches!(outcome, Err(WriteError::OutcomeUnknown)), "{outcome:?}");
}
