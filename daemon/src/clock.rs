//! Clocks of the process: steady time, wall-clock time and time since boot.

use std::sync::LazyLock;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lavendergauge_lib::clock::Millis;
use nix::time::ClockId;
use tokio::time::Instant;

/// Time of the first call of [`now`], which counts from it.
static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the steady time since the process's first call of this function; it never steps back.
///
/// ```
/// assert!(lavendergauge_daemon::clock::now() <= lavendergauge_daemon::clock::now());
/// ```
pub fn now() -> Millis {
    Millis(u64::try_from(START.elapsed().as_millis()).unwrap_or(u64::MAX))
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// ```
/// assert!(0 < lavendergauge_daemon::clock::wall_ms());
/// ```
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time since the VM booted, including the time for which it was suspended.
///
/// Leases are measured with this clock: while one VM is suspended, time still passes for the other
/// processes, so a lease must expire meanwhile.
///
/// ```
/// use lavendergauge_daemon::clock;
/// assert!(clock::boot() <= clock::boot());
/// ```
pub fn boot() -> Millis {
    match ClockId::CLOCK_BOOTTIME.now() {
        Ok(time) => Millis(time.tv_sec() as u64 * 1000 + time.tv_nsec() as u64 / 1_000_000),
        // Linux has had this clock since 2.6.39; where it is missing, the steady clock is the
        // closest.
        Err(_) => now(),
    }
}
