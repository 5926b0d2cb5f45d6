//! What a process uses, as the system's process list shows it.

use std::path::PathBuf;

/// The most memory that a process has had so far.
///
/// # Errors
/// If the process does not run, or the system does not tell.
pub fn peak_memory_bytes(process: u32) -> std::io::Result<u64> {
    let status = std::fs::read_to_string(directory(process).join("status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kilobytes.map(|kilobytes| kilobytes * 1024).ok_or_else(|| std::io::Error::other("no VmHWM"))
}

/// The number of file descriptors that a process has open.
///
/// # Errors
/// If the process does not run, or the system does not tell.
pub fn open_descriptors(process: u32) -> std::io::Result<u64> {
    Ok(std::fs::read_dir(directory(process).join("fd"))?.count() as u64)
}

fn directory(process: u32) -> PathBuf {
    PathBuf::from(format!("/proc/{process}"))
}
