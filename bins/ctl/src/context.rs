//! What the commands share: settings and clients.

use std::path::Path;

use chervilgate_clients::{HttpPlatform, HttpPool};
use chervilgate_clock::BootClock;
use chervilgate_publication::{PublishedState, RootWriter, read_published};

use crate::{output::Failure, settings::Settings};

/// Settings and clients of one run of the command.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) platform: HttpPlatform,
    pub(crate) pool: HttpPool,
}

impl Context {
    /// Reads the settings and creates the clients; connects to nothing yet.
    ///
    /// # Errors
    /// If the settings cannot be read or have errors.
    pub(crate) fn open(settings: &Path) -> Result<Context, Failure> {
        let settings: Settings = chervilgate_settings::load(settings)?;
        let platform = HttpPlatform::new(settings.platform);
        Ok(Context { settings, platform, pool: HttpPool::new() })
    }

    /// Reads the configuration in force from the platform's store.
    pub(crate) async fn published(&self) -> Result<PublishedState, Failure> {
        Ok(read_published(&self.platform).await?)
    }

    /// Creates a writer for one change; a writer must not publish twice.
    pub(crate) fn writer(&self) -> RootWriter<'_> {
        let limit = self.settings.change_limit;
        RootWriter::new(&self.platform, &BootClock, limit, rand::random())
    }
}
