//! `cert`: makes the certificates with which chervilgate's processes authenticate each other.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::Path,
};

use chervilgate_wire::CertificateAuthority;
use serde_json::json;

use crate::{
    options::CertCommand,
    output::{Exit, Failure, Output},
    wrapped_text::WrappedText,
};

/// File of the authority's certificate, which is installed on each host.
const AUTHORITY_FILE: &str = "authority.pem";
/// File of the authority's private key, which must not be copied to any host.
const AUTHORITY_KEY_FILE: &str = "authority-key.pem";
/// File mode: readable and writable by the owner only.
const PRIVATE_MODE: u32 = 0o600;
/// File mode: readable by all, writable by the owner.
const PUBLIC_MODE: u32 = 0o644;

pub(super) fn run(command: &CertCommand) -> Result<Output, Failure> {
    match command {
        CertCommand::Authority { folder, .. } => make_authority(folder),
        CertCommand::Host { folder, name, .. } => issue(folder, name),
    }
}

fn make_authority(folder: &Path) -> Result<Output, Failure> {
    let authority = CertificateAuthority::generate().map_err(identity_failure)?;
    fs::create_dir_all(folder).map_err(|error| write_failure(folder, &error))?;
    write_new(&folder.join(AUTHORITY_KEY_FILE), &authority.key_pem(), PRIVATE_MODE)?;
    write_new(&folder.join(AUTHORITY_FILE), authority.certificate_pem(), PUBLIC_MODE)?;
    let mut text = WrappedText::default();
    text.push_line(format!("wrote {AUTHORITY_FILE} and {AUTHORITY_KEY_FILE}"))
        .push_line(format!("copy {AUTHORITY_FILE} to each host, never {AUTHORITY_KEY_FILE}"))
        .push_line("next: chervilgatectl cert host FOLDER HOST");
    Ok(Output::done(text, json!({ "wrote": [AUTHORITY_FILE, AUTHORITY_KEY_FILE] })))
}

fn issue(folder: &Path, name: &str) -> Result<Output, Failure> {
    if name.is_empty() || name.starts_with('.') || name.contains('/') {
        return Err(Failure::new(
            "a host's name must not be a path",
            "use a plain name, as in host-a1",
        ));
    }
    let certificate = read(&folder.join(AUTHORITY_FILE))?;
    let key = read(&folder.join(AUTHORITY_KEY_FILE))?;
    let authority = CertificateAuthority::from_pem(&certificate, &key).map_err(identity_failure)?;
    let identity = authority.issue(name).map_err(identity_failure)?;
    let files = [format!("{name}.pem"), format!("{name}-key.pem")];
    write_new(&folder.join(&files[1]), &identity.key, PRIVATE_MODE)?;
    write_new(&folder.join(&files[0]), &identity.certificate, PUBLIC_MODE)?;
    let mut text = WrappedText::default();
    text.push_line(format!("wrote {} and {}", files[0], files[1])).push_line(format!(
        "next: copy both and {AUTHORITY_FILE} to the host, then restart its processes"
    ));
    Ok(Output::done(text, json!({ "wrote": files })))
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
    written.map_err(|error| write_failure(path, &error))
}

fn write_failure(path: &Path, error: &io::Error) -> Failure {
    let problem = format!("cannot write {}: {error}", path.display());
    Failure::new(
        problem,
        "choose another folder, or move the file that is there; existing files are not overwritten",
    )
}

fn identity_failure(error: chervilgate_wire::IdentityError) -> Failure {
    Failure::with_exit(Exit::Failed, error.to_string(), "make a new authority in an empty folder")
}
