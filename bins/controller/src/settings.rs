//! Settings of a controller.

use std::{net::SocketAddr, time::Duration};

use chervilgate_driver::IdentitySource;
use chervilgate_settings::{FromJson, Node};
use chervilgate_wire::Identity;

/// Length of a usage window.
const USAGE_WINDOW: Duration = Duration::from_secs(60);

/// What a controller is told at its start.
#[derive(Clone)]
pub struct Settings {
    /// The host's name.
    pub host: String,
    /// The host's availability zone.
    pub zone: String,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where other processes reach it, over UDP and TCP.
    pub peer: SocketAddr,
    /// How it shows itself to the other processes.
    pub identity: IdentitySource,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// Length of a usage window; the same on all controllers.
    pub usage_window: Duration,
    /// Whether the platform delists no host that still runs.
    pub trust_list: bool,
}

impl Settings {
    /// Settings with the defaults for all that has one; ports are picked freely.
    pub fn new(host: &str, zone: &str, platform: SocketAddr, identity: Identity) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            admin: any,
            peer: any,
            identity: IdentitySource::Made(identity),
            platform,
            usage_window: USAGE_WINDOW,
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
        let usage_window = fields.or("usage_window", USAGE_WINDOW);
        let trust_list = fields.or("trust_list", false);
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
