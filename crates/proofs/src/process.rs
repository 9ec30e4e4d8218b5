//! Processes that a proof starts, freezes, kills and ends.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{Id, WaitPidFlag, WaitStatus, waitid};
use nix::unistd::Pid;
use serde_json::Value;

/// First port of a fleet.
const FIRST_PORT: u16 = 20_000;

/// A process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Path of a binary that cargo built next to this test.
///
/// # Panics
/// When the test's own path is not known.
pub fn binary(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("a running program has a path");
    path.pop();
    if path.ends_with("deps") || path.ends_with("examples") {
        path.pop();
    }
    path.join(name)
}

/// Addresses of one fleet: a loopback number of its own, so that fleets that
/// run at the same time never meet on a port.
#[derive(Debug)]
pub struct LoopbackAddresses {
    ip: Ipv4Addr,
    next_port: u16,
}

impl LoopbackAddresses {
    /// Addresses that no other fleet of this machine uses.
    pub fn new() -> Self {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let [.., high, low] = pid.to_be_bytes();
        // 127.0.*.* is left to everybody else.
        let second = 1 + high % 250;
        let last = 1 + (fleet % 250) as u8;
        LoopbackAddresses { ip: Ipv4Addr::new(127, second, low, last), next_port: FIRST_PORT }
    }

    /// The next address.
    pub fn next_address(&mut self) -> String {
        self.next_port += 1;
        format!("{}:{}", self.ip, self.next_port)
    }
}

impl Default for LoopbackAddresses {
    fn default() -> Self {
        LoopbackAddresses::new()
    }
}

impl Process {
    /// Starts a program; its output goes to `log`.
    ///
    /// # Panics
    /// When it can't be started.
    pub fn start(name: &str, args: &[&str], log: &std::path::Path) -> Self {
        let log = std::fs::File::options().create(true).append(true).open(log);
        let log = log.expect("the log file can be opened");
        let child = Command::new(binary(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file can be shared"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| panic!("{name} can't be started; run 'cargo build': {e}"));
        Process { child }
    }

    /// Starts a stand-in and waits for the address that it prints.
    ///
    /// # Panics
    /// When it can't be started.
    pub fn start_standin(args: &[&str]) -> (Self, SocketAddr) {
        let mut child = Command::new(binary("bankcove"))
            .arg("standin")
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in can be started; run 'cargo build'");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("the stand-in prints its address");
        let ready: Value = serde_json::from_str(&line).expect("the address is JSON");
        let address = ready["address"].as_str().and_then(|text| text.parse().ok());
        (Process { child }, address.expect("the line holds an address"))
    }

    /// Ends it without a chance to clean up.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }

    /// Stops it in its tracks.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop as planned.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until it has ended; whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Whether it has ended.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// What the system tells of it, in words; it can still be waited for.
    pub fn state(&self) -> String {
        let pid = Pid::from_raw(self.child.id() as i32);
        let look = WaitPidFlag::WEXITED | WaitPidFlag::WNOHANG | WaitPidFlag::WNOWAIT;
        match waitid(Id::Pid(pid), look) {
            Ok(WaitStatus::StillAlive) => "running".to_owned(),
            Ok(status) => format!("{status:?}"),
            Err(e) => format!("not known: {e}"),
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // A process that has ended needs no signal.
        let _ended = kill(pid, signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
