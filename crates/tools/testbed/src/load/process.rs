//! What a process has used, as the kernel tells (proc(5)).

/// A tick of the kernel's processor time, in microseconds.
const CLOCK_TICK_US: u64 = 10_000;
/// The fields of user and system time in `/proc/PID/stat`, counted from behind the name.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Processor time that a process has used, in microseconds; `None` if it is gone.
pub(crate) fn cpu_us(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = TIME_FIELDS.map(|field| fields.get(field)?.parse::<u64>().ok());
    Some((ticks[0]? + ticks[1]?) * CLOCK_TICK_US)
}

/// Memory that a process holds, in KiB; `None` if it is gone.
pub(crate) fn resident_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
