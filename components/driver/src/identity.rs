//! Where the certificate shown to other processes comes from.

use std::fmt;

use chervilgate_settings::{FromJson, Node};
use chervilgate_wire::{Identity, IdentityError, PemFiles};

/// Where the certificate shown to other processes comes from.
#[derive(Clone)]
pub enum IdentitySource {
    /// Files in PEM.
    Files(PemFiles),
    /// An identity made in this process.
    Made(Identity),
}

impl IdentitySource {
    /// The identity as it is now.
    ///
    /// # Errors
    /// If a file cannot be read.
    pub fn load(&self) -> Result<Identity, IdentityError> {
        match self {
            IdentitySource::Files(files) => Identity::load(files),
            IdentitySource::Made(identity) => Ok(identity.clone()),
        }
    }
}

impl fmt::Debug for IdentitySource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdentitySource::Files(files) => f.debug_tuple("Files").field(files).finish(),
            IdentitySource::Made(_) => f.write_str("Made(…)"),
        }
    }
}

impl FromJson for IdentitySource {
    const EXPECTED: &'static str = "the files by which processes know one another";

    fn from_json(node: &Node<'_>) -> Option<IdentitySource> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let authority = fields.required("authority");
        let certificate = fields.required("certificate");
        let key = fields.required("key");
        let files = PemFiles { authority: authority?, certificate: certificate?, key: key? };
        Some(IdentitySource::Files(files))
    }
}
