//! `cert`: certificates by which our processes know one another.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::Path,
};

use chervilgate_wire::Authority;
use serde_json::json;

use crate::{
    answer::{Answer, Exit, Failure},
    options::CertCommand,
    screen::Screen,
};

/// The authority's certificate, which goes to each host.
const AUTHORITY: &str = "authority.pem";
/// The authority's key, which goes to no host.
const AUTHORITY_KEY: &str = "authority-key.pem";
/// Access for the owner only.
const PRIVATE: u32 = 0o600;
/// Access for reading by all.
const PUBLIC: u32 = 0o644;

pub(super) fn run(command: &CertCommand) -> Result<Answer, Failure> {
    match command {
        CertCommand::Authority { folder, .. } => make_authority(folder),
        CertCommand::Host { folder, name, .. } => issue(folder, name),
    }
}

fn make_authority(folder: &Path) -> Result<Answer, Failure> {
    let authority = Authority::generate().map_err(unusable)?;
    fs::create_dir_all(folder).map_err(|error| unwritten(folder, &error))?;
    write_new(&folder.join(AUTHORITY_KEY), &authority.key_pem(), PRIVATE)?;
    write_new(&folder.join(AUTHORITY), authority.certificate_pem(), PUBLIC)?;
    let mut text = Screen::default();
    text.line(format!("wrote {AUTHORITY} and {AUTHORITY_KEY}"))
        .line(format!("{AUTHORITY} goes to each host, {AUTHORITY_KEY} to none"))
        .line("next: chervilgatectl cert host FOLDER HOST");
    Ok(Answer::done(text, json!({ "wrote": [AUTHORITY, AUTHORITY_KEY] })))
}

fn issue(folder: &Path, name: &str) -> Result<Answer, Failure> {
    if name.is_empty() || name.starts_with('.') || name.contains('/') {
        return Err(Failure::new("a host's name is no path", "use a plain name, as in host-a1"));
    }
    let certificate = read(&folder.join(AUTHORITY))?;
    let key = read(&folder.join(AUTHORITY_KEY))?;
    let authority = Authority::from_pem(&certificate, &key).map_err(unusable)?;
    let identity = authority.issue(name).map_err(unusable)?;
    let files = [format!("{name}.pem"), format!("{name}-key.pem")];
    write_new(&folder.join(&files[1]), &identity.key, PRIVATE)?;
    write_new(&folder.join(&files[0]), &identity.certificate, PUBLIC)?;
    let mut text = Screen::default();
    text.line(format!("wrote {} and {}", files[0], files[1]))
        .line(format!("next: bring both and {AUTHORITY} to the host, start its processes again"));
    Ok(Answer::done(text, json!({ "wrote": files })))
}

fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|error| {
        let problem = format!("cannot read {}: {error}", path.display());
        Failure::new(problem, "make an authority first: chervilgatectl cert authority FOLDER")
    })
}

fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), Failure> {
    let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let written = file.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|error| unwritten(path, &error))
}

fn unwritten(path: &Path, error: &io::Error) -> Failure {
    let problem = format!("cannot write {}: {error}", path.display());
    Failure::new(problem, "choose another folder, or move what is there away; nothing is replaced")
}

fn unusable(error: chervilgate_wire::IdentityError) -> Failure {
    Failure::with_exit(Exit::Failed, error.to_string(), "make a new authority in an empty folder")
}
