//! Settings of an entry.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use chervilgate_driver::IdentitySource;
use chervilgate_settings::{FromJson, Node};
use chervilgate_wire::Identity;

/// Default time to the first token.
const DEFAULT_FIRST_TOKEN_DEADLINE: Duration = Duration::from_millis(870);
/// Default time to a plain service's response.
const DEFAULT_SERVICE_DEADLINE: Duration = Duration::from_secs(5);
/// Default time for which callers cache a locate response.
const DEFAULT_LOCATE_TTL: Duration = Duration::from_secs(5);
/// Default for the longest request body, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 8 << 20;
/// Default time allowed for receiving a request body.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The settings that an entry starts with, read from its JSON file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host's name, unique among the entries.
    pub host: String,
    /// The host's availability zone.
    pub zone: String,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address of the admin API.
    pub admin: SocketAddr,
    /// Address for messages from the other processes, over UDP and TCP.
    pub peer: SocketAddr,
    /// Certificate and key that identify it to the other processes.
    pub identity: IdentitySource,
    /// Peer addresses of other processes, for starting while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's API.
    pub platform: SocketAddr,
    /// Largest time to the first token; a request that cannot meet it is refused.
    pub deadline: Duration,
    /// Largest time to a plain service's response; a request that cannot meet it is refused.
    pub service_deadline: Duration,
    /// How long callers may cache a locate response.
    pub locate_ttl: Duration,
    /// The longest request body, in bytes.
    pub body_limit: u64,
    /// Time allowed for receiving a request body.
    pub body_timeout: Duration,
    /// Certificate and key for callers; `None` serves callers without TLS.
    pub tls: Option<TlsFiles>,
    /// UDP address that metrics are sent to; `None` sends none.
    pub metrics: Option<SocketAddr>,
}

/// Paths of a certificate and its key, in PEM.
#[derive(Debug, Clone)]
pub struct TlsFiles {
    /// The certificate chain.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
}

impl Settings {
    /// Default settings, listening on free ports of the loopback address.
    pub fn new(host: &str, zone: &str, platform: SocketAddr, identity: Identity) -> Settings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            listen: any,
            admin: any,
            peer: any,
            identity: IdentitySource::InMemory(identity),
            seeds: Vec::new(),
            platform,
            deadline: DEFAULT_FIRST_TOKEN_DEADLINE,
            service_deadline: DEFAULT_SERVICE_DEADLINE,
            locate_ttl: DEFAULT_LOCATE_TTL,
            body_limit: DEFAULT_MAX_BODY_BYTES,
            body_timeout: DEFAULT_BODY_TIMEOUT,
            tls: None,
            metrics: None,
        }
    }
}

impl FromJson for Settings {
    const EXPECTED: &'static str = "the settings of an entry";

    fn from_json(node: &Node<'_>) -> Option<Settings> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let host: Option<String> = fields.required("host");
        let zone: Option<String> = fields.required("zone");
        let listen = fields.required("listen");
        let admin = fields.required("admin");
        let peer = fields.required("peer");
        let identity = fields.required("peer_tls");
        let seeds = fields.optional_or("seeds", Vec::new());
        let platform = fields.required("platform");
        let deadline = fields.optional_or("deadline", DEFAULT_FIRST_TOKEN_DEADLINE);
        let service_deadline = fields.optional_or("service_deadline", DEFAULT_SERVICE_DEADLINE);
        let locate_ttl = fields.optional_or("locate_ttl", DEFAULT_LOCATE_TTL);
        let body_limit =
            fields.in_range_or("body_limit", 1_024..=(64 << 20), DEFAULT_MAX_BODY_BYTES);
        let body_timeout = fields.optional_or("body_timeout", DEFAULT_BODY_TIMEOUT);
        let tls = fields.optional("tls");
        let metrics = fields.optional("metrics");
        Some(Settings {
            host: host?,
            zone: zone?,
            listen: listen?,
            admin: admin?,
            peer: peer?,
            identity: identity?,
            seeds,
            platform: platform?,
            deadline,
            service_deadline,
            locate_ttl,
            body_limit,
            body_timeout,
            tls,
            metrics,
        })
    }
}

impl FromJson for TlsFiles {
    const EXPECTED: &'static str = "a certificate and its key";

    fn from_json(node: &Node<'_>) -> Option<TlsFiles> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let certificate = fields.required("certificate");
        let key = fields.required("key");
        Some(TlsFiles { certificate: certificate?, key: key? })
    }
}
