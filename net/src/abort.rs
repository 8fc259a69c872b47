//! Aborts the connection of a call that is given up.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hyper::http::Extensions;
use hyper_util::client::legacy::connect::CaptureConnection;

/// Whether a connection is aborted; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flag {
    is_aborted: Arc<AtomicBool>,
}

impl Flag {
    /// Fails once the connection is aborted.
    pub(crate) fn check(&self) -> io::Result<()> {
        match self.is_aborted.load(Ordering::Acquire) {
            false => Ok(()),
            true => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Aborts a call's connection when it is dropped before the call has ended.
///
/// Without it, the connection would be closed only when all that it has buffered is sent. Drop it
/// before the future of the call, whose end wakes the connection.
#[derive(Debug)]
pub(crate) struct Guard {
    connection: CaptureConnection,
    has_ended: bool,
}

impl Guard {
    /// Makes the guard of a call that uses the captured connection.
    pub(crate) fn new(connection: CaptureConnection) -> Self {
        Guard { connection, has_ended: false }
    }

    /// Leaves the connection to other calls, as this one has ended.
    pub(crate) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        if let Some(connected) = &*self.connection.connection_metadata() {
            connected.poison();
            let mut extras = Extensions::new();
            connected.get_extras(&mut extras);
            if let Some(flag) = extras.get::<Flag>() {
                flag.is_aborted.store(true, Ordering::Release);
            }
        }
    }
}
