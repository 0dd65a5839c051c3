//! Processor time and memory of this process, from `/proc`.

use std::fs;

/// Name of the thread that makes and answers calls between nodes.
const RPC_THREAD: &str = "rpc";

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Processor time since the start, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CpuTime {
    /// The thread of calls between nodes.
    pub rpc_s: f64,
    /// All other threads: requests, gossip, quota, timers.
    pub workers_s: f64,
}

impl CpuTime {
    /// Up to now; zero where the system tells nothing.
    #[must_use]
    pub fn of_this_process() -> Self {
        let mut time = Self::default();
        for thread in fs::read_dir("/proc/self/task").into_iter().flatten() {
            let Ok(thread) = thread else {
                continue;
            };
            let read = |name: &str| fs::read_to_string(thread.path().join(name));
            let (Ok(name), Ok(schedule)) = (read("comm"), read("schedstat")) else {
                continue;
            };
            let ran_ns = schedule.split_whitespace().next();
            let ran_ns: f64 = ran_ns.and_then(|field| field.parse().ok()).unwrap_or(0.0);
            let ran_s = ran_ns / NANOSECONDS_PER_SECOND;
            if name.trim() == RPC_THREAD {
                time.rpc_s += ran_s;
            } else {
                time.workers_s += ran_s;
            }
        }
        time
    }
}

/// Resident memory of this process in bytes; zero where the system tells
/// nothing.
#[must_use]
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) << 10
}
