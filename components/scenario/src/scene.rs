//! A script as a scene of the fault matrix.

use chervilgate_clock::Time;
use chervilgate_coord::{Guards, Version};
use chervilgate_testbed::{Bed, Fact, HostState, Scene};

use crate::{runner::Runner, script::Script};

/// A script that faults are added to; its own expectations are not judged.
pub struct ScriptScene {
    script: Script,
    until: Time,
}

impl ScriptScene {
    /// Strikes the script's steps up to `until`.
    pub fn new(script: Script, until: Time) -> ScriptScene {
        ScriptScene { script, until }
    }
}

impl Scene for ScriptScene {
    fn name(&self) -> &str {
        &self.script.title
    }

    fn build(&self, seed: u64) -> Bed {
        Bed::new(seed)
    }

    fn drive(&self, bed: &mut Bed) {
        Runner::new(&self.script, bed, Guards::default()).run_to_end();
    }

    fn strike_until(&self) -> Time {
        self.until
    }

    /// Entries that do not hold the newest view at the end.
    fn complaints(&self, bed: &Bed) -> Vec<String> {
        let newest = adopted(bed, |_| true);
        let up = bed.hosts().filter(|host| bed.state(*host) == HostState::Up);
        up.filter_map(|host| {
            let process = bed.incarnation(host);
            let held = adopted(bed, |of| of == process);
            (held < newest).then(|| format!("host {} holds {held:?}, not {newest:?}", host.0))
        })
        .collect()
    }
}

/// The newest view that any of these processes has adopted.
fn adopted(bed: &Bed, of: impl Fn(chervilgate_coord::Incarnation) -> bool) -> Option<Version> {
    let entries = bed.history.entries.iter();
    let views = entries.filter_map(|entry| match entry.fact {
        Fact::Adopted { config } if entry.process.is_some_and(&of) => Some(config),
        _ => None,
    });
    views.max()
}
