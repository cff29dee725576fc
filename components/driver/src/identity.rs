//! Source of the certificate and key that a process uses towards its peers.

use std::fmt;

use chervilgate_settings::{FromJson, Node};
use chervilgate_wire::{Identity, IdentityError, PemFiles};

/// Source of the certificate and key that a process uses towards its peers.
#[derive(Clone)]
pub enum IdentitySource {
    /// PEM files, read at each load so that they can be rotated.
    Files(PemFiles),
    /// An identity held in memory.
    InMemory(Identity),
}

impl IdentitySource {
    /// Loads the current identity.
    ///
    /// # Errors
    /// If a file cannot be read.
    pub fn load(&self) -> Result<Identity, IdentityError> {
        match self {
            IdentitySource::Files(files) => Identity::load(files),
            IdentitySource::InMemory(identity) => Ok(identity.clone()),
        }
    }
}

impl fmt::Debug for IdentitySource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdentitySource::Files(files) => f.debug_tuple("Files").field(files).finish(),
            IdentitySource::InMemory(_) => f.write_str("Made(…)"),
        }
    }
}

impl FromJson for IdentitySource {
    const EXPECTED: &'static str =
        "the certificate, key and authority files for connections between processes";

    fn from_json(node: &Node<'_>) -> Option<IdentitySource> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let authority = fields.required("authority");
        let certificate = fields.required("certificate");
        let key = fields.required("key");
        let files = PemFiles { authority: authority?, certificate: certificate?, key: key? };
        Some(IdentitySource::Files(files))
    }
}
