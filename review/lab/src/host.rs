//! Host processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::send, json::Json};

pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A part of the loopback network that this run has for itself: each machine has an address, and
/// the ports are the same on all of them, as on the users' machines.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    pub fn new() -> Net {
        let pid = std::process::id();
        Net(64 + (pid / 250 % 128) as u8, 1 + (pid % 250) as u8)
    }

    pub fn addr(self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, machine)), port)
    }

    /// The store and the platform's API.
    pub fn platform(self) -> SocketAddr {
        self.addr(250, 8362)
    }
}

/// Reads the command of the deploy file's only role.
fn command_line(root: &Path) -> io::Result<Vec<String>> {
    let text = fs::read_to_string(root.join("deploy/system.toml"))?;
    let run = text.lines().find_map(|line| line.trim().strip_prefix("run = \"")?.strip_suffix('"'));
    let run = run.ok_or_else(|| io::Error::other("the deploy file has no run line"))?;
    Ok(run.split(' ').map(str::to_owned).collect())
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Writes the settings of a machine and starts its process.
    pub fn start(net: Net, index: u8, zone: &str, root: &Path, dir: &Path) -> io::Result<Host> {
        let at = |port| net.addr(10 + index, port);
        let name = format!("front-{zone}-{index}");
        let (front, ready, directory) = (at(8368), at(8369), at(8360));
        let (ip, control, platform) = (front.ip(), at(8367), net.platform());
        let text = format!(
            "node = \"{name}\"\nrole = \"host\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"directory\"]\nip_address = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"r\"\ninternal_port_range = [7780,7795]\nseeds = []\nbootstrap = true\n\
             counts_toward_tolerance = false\ndiscovery = \"platform\"\nentry = \"directory\"\n\
             heartbeat_interval_ms = 1200\n\
             [zones]\n{zone} = \"r\"\n\
             [listen_addresses]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             directory = \"{directory}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n\
             acknowledge_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_period_s = 8\n\
             loss_slack_ms = 200\nconfiguration_apply_ms = 2000\nrollback_slack_ms = 250\n\
             outer_bound_ms = 5000\nrevoke_when_partitioned = true\nrevoke_ms = 5000\n\
             retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = 56\n\
             require_fencing = false\nlease_ms = 3000\nthaw_ms = 300\nusage_window_s = 5\n\
             usage_tolerance = 0.05\nusage_late_s = 10\nrecovery_s = 12\ntransit_ms = 120\n\
             reuse_window_s = 8.5\nttl_max_s = 5\n\
             [platform]\naddress = \"{platform}\"\nform = \"objects\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_minimum_ms = 1000\n\
             [cloud_api]\naddress = \"{platform}\"\nrate_per_s = 50.0\n\
             duties = [\"usage_report\",\"autoscale\"]\nduty_per_s = 50.0\n"
        );
        let settings = dir.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        File::create(&log)?;
        let root = root.to_owned();
        let mut host = Host { name, front, ready, directory, root, settings, log, child: None };
        host.spawn()?;
        Ok(host)
    }

    pub fn spawn(&mut self) -> io::Result<()> {
        let words = command_line(&self.root)?;
        let log = File::options().append(true).open(&self.log)?;
        let mut command = Command::new(self.root.join(&words[0]));
        command.args(&words[1..]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("CHERVILGATE_NODE_FILE", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: only sends a signal, to a child of this process that was not waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let asked = send(self.ready, "GET", "/api/readiness", &[("Host", "x")], b"", Duration::from_secs(1));
        asked.is_ok_and(|response| response.status == 200)
    }

    pub fn wait_ready(&mut self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            if self.has_ended() {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    /// The addresses that the directory gives out, and the time for which they hold.
    pub fn resolve(&self) -> io::Result<(Vec<SocketAddr>, f64)> {
        let limit = Duration::from_secs(1);
        let target = "/api/resolution?name=h.example&region=r&zone=z-a";
        let mut response = send(self.directory, "GET", target, &[("Host", "x")], b"", limit)?;
        let body = String::from_utf8_lossy(&response.rest()?).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let ttl = match body.get("ttl_s") {
            Some(Json::Num(text)) => text.parse().unwrap_or(0.0),
            _ => 0.0,
        };
        let addrs = body.get("addresses").map(Json::items).unwrap_or_default().iter();
        Ok((addrs.filter_map(|addr| addr.as_str()?.parse().ok()).collect(), ttl))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
