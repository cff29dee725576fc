//! What a command works with: settings, store and clock.

use std::path::Path;

use chervilgate_clients::{HttpPlatform, HttpPool};
use chervilgate_clock::BootClock;
use chervilgate_publication::{Published, RootWriter, read_published};

use crate::{answer::Failure, settings::Settings};

/// One run of the command.
pub(crate) struct Session {
    pub(crate) settings: Settings,
    pub(crate) platform: HttpPlatform,
    pub(crate) pool: HttpPool,
}

impl Session {
    /// Reads the settings.
    ///
    /// # Errors
    /// If they have findings.
    pub(crate) fn open(settings: &Path) -> Result<Session, Failure> {
        let settings: Settings = chervilgate_settings::load(settings)?;
        let platform = HttpPlatform::new(settings.platform);
        Ok(Session { settings, platform, pool: HttpPool::new() })
    }

    /// What is in force, as the platform has it.
    pub(crate) async fn published(&self) -> Result<Published, Failure> {
        Ok(read_published(&self.platform).await?)
    }

    /// Makes changes; each writer may publish once.
    pub(crate) fn writer(&self) -> RootWriter<'_> {
        let limit = self.settings.change_limit;
        RootWriter::new(&self.platform, &BootClock, limit, rand::random())
    }
}
