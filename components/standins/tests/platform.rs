//! Objects of the platform under keys of any text.

use chervilgate_clients::{HttpPlatform, ObjectStore};
use chervilgate_coord::{Change, Expect, Object, StoreCall, StoreReply, Version};
use chervilgate_standins::PlatformServer;

/// Parts of keys that have a meaning of their own in a URI, a form or a path.
const ODD_NAMES: [&str; 10] = [
    "odd&even",
    "odd+even",
    "odd#even",
    "odd%even",
    "odd even",
    "odd%41",
    "odd?even",
    "odd=even",
    "odd\r\neven",
    "zażółć",
];

#[tokio::test]
async fn an_object_is_written_listed_watched_and_deleted_under_any_key() {
    let server = PlatformServer::start(0).expect("a free port");
    let platform = HttpPlatform::new(server.addr());
    let mut failed = Vec::new();
    let mut after = Version::default();
    for name in ODD_NAMES {
        let (key, prefix) = (format!("kind/{name}/1"), format!("kind/{name}/"));
        let put = StoreCall::Put { key: key.clone(), expect: Expect::Absent, value: b"v".to_vec() };

        let written = platform.call(&put).await;
        let StoreReply::Written(version) = written else {
            failed.push((name, "write", written));
            continue;
        };
        let object = Object { key: key.clone(), version, value: b"v".to_vec() };
        let found = platform.call(&StoreCall::Get { key: key.clone() }).await;
        let listed = platform.call(&StoreCall::List { prefix: prefix.clone() }).await;
        let changed = platform.call(&StoreCall::Watch { prefix, after }).await;
        let deleted = platform.call(&StoreCall::Delete { key, version }).await;

        let changes = vec![Change::Put(object.clone())];
        let objects = vec![object.clone()];
        let expected = [
            ("read", found, StoreReply::Found(Some(object))),
            ("list", listed, StoreReply::Listed { objects, version }),
            ("watch", changed, StoreReply::Changed { changes, version }),
        ];
        for (call, reply, expected) in expected {
            if reply != expected {
                failed.push((name, call, reply));
            }
        }
        match deleted {
            StoreReply::Written(version) => after = version,
            reply => failed.push((name, "delete", reply)),
        }
    }
    assert_eq!(failed, []);
}
