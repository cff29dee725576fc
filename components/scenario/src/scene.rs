//! Runs a script under each fault of the fault matrix.

use chervilgate_clock::Time;
use chervilgate_coord::{Guards, Version};
use chervilgate_testbed::{Fact, HostState, Scene, Testbed};

use crate::{runner::Runner, script::Script};

/// A script that the fault matrix runs with injected faults.
///
/// The script's own expectations are ignored.
pub struct ScriptScene {
    script: Script,
    until: Time,
}

impl ScriptScene {
    /// Injects faults only at steps that occur up to `until`.
    pub fn new(script: Script, until: Time) -> ScriptScene {
        ScriptScene { script, until }
    }
}

impl Scene for ScriptScene {
    fn name(&self) -> &str {
        &self.script.title
    }

    fn build(&self, seed: u64) -> Testbed {
        Testbed::new(seed)
    }

    fn run(&self, bed: &mut Testbed) {
        Runner::new(&self.script, bed, Guards::default()).run_to_end();
    }

    fn fault_deadline(&self) -> Time {
        self.until
    }

    /// Running entries that have not adopted the newest view by the end of the run.
    fn final_problems(&self, bed: &Testbed) -> Vec<String> {
        let newest = adopted(bed, |_| true);
        let up = bed.hosts().filter(|host| bed.state(*host) == HostState::Up);
        up.filter_map(|host| {
            let process = bed.incarnation(host);
            let held = adopted(bed, |of| of == process);
            (held < newest).then(|| {
                format!("host {} has adopted {held:?}, not the newest view {newest:?}", host.0)
            })
        })
        .collect()
    }
}

/// The newest view adopted by any process that `of` selects.
fn adopted(bed: &Testbed, of: impl Fn(chervilgate_coord::Incarnation) -> bool) -> Option<Version> {
    let entries = bed.history.entries.iter();
    let views = entries.filter_map(|entry| match entry.fact {
        Fact::Adopted { config } if entry.process.is_some_and(&of) => Some(config),
        _ => None,
    });
    views.max()
}
