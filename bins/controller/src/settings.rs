//! Settings of a controller, read from a JSON file.

use std::{net::SocketAddr, time::Duration};

use chervilgate_driver::IdentitySource;
use chervilgate_settings::{FromJson, Node};
use chervilgate_wire::Identity;

/// Default length of a usage window.
const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(60);

/// Settings of a controller.
#[derive(Clone)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Listen address of the admin API.
    pub admin: SocketAddr,
    /// Listen address for other processes, over UDP and TCP.
    pub peer: SocketAddr,
    /// Certificate and key that identify this process to the others.
    pub identity: IdentitySource,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Length of a usage window; must be the same on all controllers.
    pub usage_window: Duration,
    /// Whether the platform's host list is trusted: no host that still runs is missing from it.
    pub trust_list: bool,
}

impl Settings {
    /// Creates settings with the defaults, and with free ports chosen by the system.
    pub fn new(host: &str, zone: &str, platform: SocketAddr, identity: Identity) -> Settings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            admin: any_port,
            peer: any_port,
            identity: IdentitySource::InMemory(identity),
            platform,
            usage_window: DEFAULT_USAGE_WINDOW,
            trust_list: false,
        }
    }
}

impl FromJson for Settings {
    const EXPECTED: &'static str = "the settings of a controller";

    fn from_json(node: &Node<'_>) -> Option<Settings> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let host: Option<String> = fields.required("host");
        let zone: Option<String> = fields.required("zone");
        let admin = fields.required("admin");
        let peer = fields.required("peer");
        let identity = fields.required("peer_tls");
        let platform = fields.required("platform");
        let usage_window = fields.optional_or("usage_window", DEFAULT_USAGE_WINDOW);
        let trust_list = fields.optional_or("trust_list", false);
        Some(Settings {
            host: host?,
            zone: zone?,
            admin: admin?,
            peer: peer?,
            identity: identity?,
            platform: platform?,
            usage_window,
            trust_list,
        })
    }
}
