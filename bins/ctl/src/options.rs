//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

use crate::consent::{Consent, consent};

/// Footer of the help.
const EXIT_CODES: &str = "Exit codes:
  0 done, or all is well    1 failed, nothing changed
  2 findings in files       3 another change came first
  4 not accepted yet, or outcome unknown
  5 risky: add --yes        6 status found something wrong";

/// Operates a chervilgate deployment
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version, fallback_to_usage, footer(EXIT_CODES))]
pub(crate) enum Command {
    /// Shows whether all is well, what is wrong and what to do
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        common: Common,
    },
    /// Checks files of objects, without the platform
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        common: Common,
        /// Files or folders of objects
        #[bpaf(positional("PATH"), some("name a file or folder"))]
        paths: Vec<PathBuf>,
    },
    /// Shows what files would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        common: Common,
        /// Also removes objects that are in no file
        prune: bool,
        /// Files or folders of objects
        #[bpaf(positional("PATH"), some("name a file or folder"))]
        paths: Vec<PathBuf>,
    },
    /// Publishes the objects in files
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        consent: Consent,
        /// Also removes objects that are in no file
        prune: bool,
        /// Reason, shown in the history
        #[bpaf(short('m'), long, argument("TEXT"), fallback(String::new()))]
        message: String,
        /// Files or folders of objects
        #[bpaf(positional("PATH"), some("name a file or folder"))]
        paths: Vec<PathBuf>,
    },
    /// Lists the latest publications, or what one changed
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        common: Common,
        /// The publication
        #[bpaf(positional("NUMBER"))]
        number: Option<u64>,
    },
    /// Publishes an earlier configuration again
    #[bpaf(command)]
    Rollback {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        consent: Consent,
        /// The publication; by default the one before the latest
        #[bpaf(positional("NUMBER"))]
        number: Option<u64>,
    },
    /// Lists hosts
    #[bpaf(command)]
    Hosts {
        #[bpaf(external)]
        common: Common,
    },
    /// Lists targets
    #[bpaf(command)]
    Targets {
        #[bpaf(external)]
        common: Common,
        /// Only those of this service
        #[bpaf(positional("SERVICE"))]
        service: Option<String>,
    },
    /// Stops giving a target new work
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        consent: Consent,
        /// The target
        #[bpaf(positional("TARGET"))]
        target: String,
    },
    /// Gives a drained target new work again
    #[bpaf(command)]
    Undrain {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        consent: Consent,
        /// The target
        #[bpaf(positional("TARGET"))]
        target: String,
    },
    /// Issues, withdraws and lists keys
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Makes certificates for chervilgate's own processes
    #[bpaf(command)]
    Cert(#[bpaf(external(cert_command))] CertCommand),
    /// Shows where a host would send a request now and why, without sending it
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Declares a process stopped for good, so that others take its orders over
    #[bpaf(command)]
    Release {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        consent: Consent,
        /// The process; without it, lists those with orders under way
        #[bpaf(positional("INCARNATION"))]
        incarnation: Option<String>,
    },
}

#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) struct ExplainOptions {
    #[bpaf(external)]
    pub(crate) common: Common,
    /// Name of the route; by default one that leads to the service
    #[bpaf(argument("ROUTE"))]
    pub(crate) route: Option<String>,
    /// Name of the organisation
    #[bpaf(argument("ORGANISATION"))]
    pub(crate) organisation: Option<String>,
    /// Prompt tokens
    #[bpaf(argument("NUMBER"), fallback(0))]
    pub(crate) tokens: u32,
    /// Parts of the prompt as ID:TOKENS,..., its own part last
    #[bpaf(argument("PARTS"))]
    pub(crate) parts: Option<String>,
    /// Maximum number of tokens to generate
    #[bpaf(argument("NUMBER"), fallback(0))]
    pub(crate) output: u32,
    /// Time that the caller waits, in milliseconds
    #[bpaf(argument("MS"))]
    pub(crate) time_limit: Option<u64>,
    /// Address at which the host serves metrics
    #[bpaf(positional("HOST:PORT"))]
    pub(crate) host: SocketAddr,
    /// Name of the service; needed unless a route with only one is named
    #[bpaf(positional("SERVICE"))]
    pub(crate) service: Option<String>,
}

#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) enum KeyCommand {
    /// Issues a key and shows it once
    #[bpaf(command)]
    Issue {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        consent: Consent,
        /// The organisation that the key belongs to
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
    },
    /// Withdraws a key for good
    #[bpaf(command)]
    Withdraw {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        consent: Consent,
        /// The key's id, or the whole key
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Lists keys, without their secrets
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        common: Common,
        /// Only those of this organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: Option<String>,
    },
}

#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) enum CertCommand {
    /// Makes the certificate authority that issues hosts' certificates
    #[bpaf(command)]
    Authority {
        #[bpaf(external)]
        common: Common,
        /// Folder for the authority's files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Issues a host's certificate
    #[bpaf(command)]
    Host {
        #[bpaf(external)]
        common: Common,
        /// Folder of the authority's files, also for the host's files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
        /// The host
        #[bpaf(positional("HOST"))]
        name: String,
    },
}

#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) struct Common {
    /// Settings file of this command
    #[bpaf(
        short('s'),
        long,
        env("CHERVILGATECTL"),
        argument("FILE"),
        fallback(PathBuf::from("chervilgatectl.json")),
        debug_fallback
    )]
    pub(crate) settings: PathBuf,
    /// Prints JSON
    pub(crate) json: bool,
}

impl Command {
    /// The options that all commands share.
    pub(crate) fn common(&self) -> &Common {
        match self {
            Command::Status { common }
            | Command::Check { common, .. }
            | Command::Diff { common, .. }
            | Command::Apply { common, .. }
            | Command::History { common, .. }
            | Command::Rollback { common, .. }
            | Command::Hosts { common }
            | Command::Targets { common, .. }
            | Command::Drain { common, .. }
            | Command::Undrain { common, .. }
            | Command::Release { common, .. }
            | Command::Explain(ExplainOptions { common, .. })
            | Command::Key(
                KeyCommand::Issue { common, .. }
                | KeyCommand::Withdraw { common, .. }
                | KeyCommand::List { common, .. },
            )
            | Command::Cert(
                CertCommand::Authority { common, .. } | CertCommand::Host { common, .. },
            ) => common,
        }
    }
}
