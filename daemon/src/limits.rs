//! Divides a VM's memory and file descriptors among the peers of a process.
//!
//! Every bound on what peers can occupy is a part of one of the two, so that the bounds together
//! fit the VM. The memory that is not given out remains for the process's own state.

use std::sync::Arc;

use lavendergauge_derive::value;
use lavendergauge_net::budget::Budget;
use lavendergauge_net::server;

/// Memory that a connection and the call on it can occupy beside the call's body, in bytes: buffers
/// of the kernel and of the process, the head, and the state of TLS or HTTP/2.
const CONNECTION_BYTES: usize = 64 << 10;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Fewest connections of a listener.
const MIN_CONNECTIONS: usize = 8;

/// Parts of the memory, in 32nds. 12 of them remain.
mod memory_part {
    pub(super) const CALLER_BODIES: usize = 4;
    pub(super) const PEER_BODIES: usize = 4;
    pub(super) const ANSWERS: usize = 2;
    pub(super) const CALLER_CONNECTIONS: usize = 6;
    pub(super) const PEER_CONNECTIONS: usize = 3;
    pub(super) const PROBE_CONNECTIONS: usize = 1;
    pub(super) const WHOLE: usize = 32;
}

/// Parts of the sockets, in percent. The rest remains for connections to the platform.
mod socket_part {
    pub(super) const CALLERS: usize = 30;
    pub(super) const PEERS: usize = 12;
    pub(super) const PROBES: usize = 3;
    pub(super) const FLEET: usize = 25;
    pub(super) const FRESH: usize = 10;
}

/// What a VM gives to a process.
#[value]
#[derive(Copy)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: usize,
    /// File descriptors.
    pub max_descriptors: usize,
}

/// Bounds on what the peers of a process can occupy.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Most connections of callers.
    pub caller_connections: usize,
    /// Most connections of the fleet's processes and of operators.
    pub peer_connections: usize,
    /// Most connections of a listener that only takes health checks or heartbeats.
    pub probe_connections: usize,
    /// Most connections to the fleet's other processes.
    pub fleet_connections: usize,
    /// Most connections to the fleet's other processes that replace one which failed.
    pub fresh_connections: usize,
    /// Limits the bytes of callers' bodies, and what is made from them while a call is served.
    pub caller_bodies: Arc<Budget>,
    /// Limits the bytes of the bodies of all other calls.
    pub peer_bodies: Arc<Budget>,
    /// Limits the bytes of answers that are not read yet.
    pub answers: Arc<Budget>,
}

impl Quota {
    /// Divides what a VM gives to a process.
    ///
    /// ```
    /// use lavendergauge_daemon::limits::Limits;
    /// use lavendergauge_daemon::limits::Quota;
    /// let quota = Quota::new(Limits { memory_mb: 160, max_descriptors: 4100 });
    /// assert_eq!((quota.caller_connections, quota.peer_connections), (480, 240));
    /// ```
    pub fn new(limits: Limits) -> Quota {
        let memory = limits.memory_mb << 20;
        let bytes = |part: usize| memory / memory_part::WHOLE * part;
        let sockets = limits.max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = |memory_part: usize, socket_part: usize| {
            let by_memory = bytes(memory_part) / CONNECTION_BYTES;
            by_memory.min(sockets * socket_part / 100).max(MIN_CONNECTIONS)
        };
        Quota {
            caller_connections: connections(memory_part::CALLER_CONNECTIONS, socket_part::CALLERS),
            peer_connections: connections(memory_part::PEER_CONNECTIONS, socket_part::PEERS),
            probe_connections: connections(memory_part::PROBE_CONNECTIONS, socket_part::PROBES),
            fleet_connections: sockets * socket_part::FLEET / 100,
            fresh_connections: sockets * socket_part::FRESH / 100,
            caller_bodies: Budget::new("caller-bodies", bytes(memory_part::CALLER_BODIES)),
            peer_bodies: Budget::new("peer-bodies", bytes(memory_part::PEER_BODIES)),
            answers: Budget::new("answers", bytes(memory_part::ANSWERS)),
        }
    }

    /// Returns the limits of a listener with this number of connections; its name is for logs and
    /// metrics.
    ///
    /// ```
    /// use lavendergauge_daemon::limits::Limits;
    /// use lavendergauge_daemon::limits::Quota;
    /// let quota = Quota::new(Limits { memory_mb: 160, max_descriptors: 4100 });
    /// assert_eq!(quota.listener("ready", quota.probe_connections).connections, 80);
    /// ```
    pub fn listener(&self, name: &'static str, connections: usize) -> server::Limits {
        server::Limits { listener: name, connections, answers: self.answers.clone() }
    }
}
