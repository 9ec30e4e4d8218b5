//! Processes that a test starts, pauses, kills and terminates.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{Id, WaitPidFlag, WaitStatus, waitid};
use nix::unistd::Pid;
use serde_json::Value;

/// The ports of a fleet are numbered from the one after this.
const PORT_BASE: u16 = 20_000;

/// A child process, which is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Returns the path of a binary that cargo built next to this test.
///
/// # Panics
/// If the path of the test's own binary is unknown.
pub fn binary(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("a running program has a path");
    path.pop();
    if path.ends_with("deps") || path.ends_with("examples") {
        path.pop();
    }
    path.join(name)
}

/// Returns the peak of a process's resident memory, in bytes.
///
/// # Panics
/// If the process does not run.
pub fn peak_memory(pid: u32) -> u64 {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(path).expect("the process runs");
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
    let kilobytes = line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
    kilobytes << 10
}

/// Addresses of one fleet. Each fleet has its own loopback IP address, so that fleets running at
/// the same time never use the same port.
#[derive(Debug)]
pub struct LoopbackAddresses {
    ip: Ipv4Addr,
    last_port: u16,
}

impl LoopbackAddresses {
    /// Chooses an IP address that no other fleet on this machine uses.
    pub fn new() -> Self {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let [.., high, low] = pid.to_be_bytes();
        // 127.0.*.* is left to other programs.
        let second = 1 + high % 250;
        let last = 1 + (fleet % 250) as u8;
        LoopbackAddresses { ip: Ipv4Addr::new(127, second, low, last), last_port: PORT_BASE }
    }

    /// Returns an unused address.
    pub fn next_address(&mut self) -> String {
        self.last_port += 1;
        format!("{}:{}", self.ip, self.last_port)
    }
}

impl Default for LoopbackAddresses {
    fn default() -> Self {
        LoopbackAddresses::new()
    }
}

impl Process {
    /// Starts a program, with an environment variable, whose output is appended to `log`.
    ///
    /// # Panics
    /// If it can't be started.
    pub fn start(
        name: &str,
        args: &[&str],
        env: Option<(&str, String)>,
        log: &std::path::Path,
    ) -> Self {
        let log = std::fs::File::options().create(true).append(true).open(log);
        let log = log.expect("the log file can be opened");
        let child = Command::new(binary(name))
            .args(args)
            .envs(env)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file can be shared"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| panic!("{name} can't be started; run 'cargo build': {e}"));
        Process { child }
    }

    /// Starts a stand-in and returns it with the address that it prints.
    ///
    /// # Panics
    /// If it can't be started.
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
        let ready: Value = serde_json::from_str(&line).expect("the stand-in prints JSON");
        let address = ready["address"].as_str().and_then(|text| text.parse().ok());
        (Process { child }, address.expect("the line has an address"))
    }

    /// Returns the peak of its resident memory, in bytes.
    pub fn peak_memory(&self) -> u64 {
        peak_memory(self.child.id())
    }

    /// Kills the process with SIGKILL, so that it can't clean up, and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has exited and returns whether its exit status is success.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Describes the state of the process without reaping it, so that it can still be waited for.
    pub fn state(&self) -> String {
        let pid = Pid::from_raw(self.child.id() as i32);
        let flags = WaitPidFlag::WEXITED | WaitPidFlag::WNOHANG | WaitPidFlag::WNOWAIT;
        match waitid(Id::Pid(pid), flags) {
            Ok(WaitStatus::StillAlive) => "running".to_owned(),
            Ok(status) => format!("{status:?}"),
            Err(e) => format!("unknown: {e}"),
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // Fails only if the process has exited, and then no signal is needed.
        let _exited = kill(pid, signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
