//! Runs one case of the review: `lab NAME FOLDER`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
//! the same runs without the disruption.

mod cases;
mod client;
mod host;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{env, fs, io, path::PathBuf, process::ExitCode};

use crate::{host::Net, record::Record, store::Store};

/// What all cases use.
pub struct Lab {
    pub net: Net,
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub store: Store,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn run() -> io::Result<bool> {
    let mut words = env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next()) else {
        return Err(io::Error::other("usage: lab NAME FOLDER"));
    };
    let record = Record::create(&PathBuf::from(folder).join("record.txt"))?;
    let temp = env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&temp)?;
    let net = Net::new();
    let store = Store::start(net.platform())?;
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let lab = Lab { net, root: env::current_dir()?, temp: temp.clone(), record, store, trouble };
    let result = cases::run(&name, &lab);
    match &result {
        Ok(broken) => lab.record.note(if *broken { "RULE BROKEN" } else { "rule held" }),
        Err(error) => lab.record.note(&format!("could not run: {error}")),
    }
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&temp);
    }
    result
}

fn main() -> ExitCode {
    match run() {
        Ok(false) => ExitCode::from(0),
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
