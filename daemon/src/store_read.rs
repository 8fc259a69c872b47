//! Coalescing of equal reads: callers that arrive while a read is in flight share the next one.
//!
//! A caller never joins a read that is already in flight, since the service may have carried it out
//! before the caller arrived. So each caller's answer is at least as new as its call.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde_json::Value;
use tokio::sync::watch;

use crate::store::Error;

/// The answer of a shared read; `None` until it has arrived.
type Answer = Option<Result<Value, Arc<Error>>>;

/// The reads of one request.
#[derive(Debug, Default)]
struct Queue {
    /// Locked while a read is in flight.
    in_flight: tokio::sync::Mutex<()>,
    /// Receiver of the answer to the read that waits for the one in flight.
    next: Mutex<Option<watch::Receiver<Answer>>>,
}

impl Queue {
    fn next(&self) -> MutexGuard<'_, Option<watch::Receiver<Answer>>> {
        self.next.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Joins the read that has not begun yet, or takes the role of the caller who makes it.
    fn join(&self) -> Role {
        let mut next = self.next();
        if let Some(known) = next.as_ref()
            && known.has_changed().is_ok()
        {
            return Role::Follow(known.clone());
        }
        let (sender, receiver) = watch::channel(None);
        *next = Some(receiver);
        Role::Lead(sender)
    }
}

/// A caller's role in a shared read.
enum Role {
    /// Make the read and send its answer to the others.
    Lead(watch::Sender<Answer>),
    /// Wait for the answer to another caller's read.
    Follow(watch::Receiver<Answer>),
}

/// The waiting reads and those in flight, by request.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    queues: Mutex<HashMap<String, Arc<Queue>>>,
}

impl Reads {
    fn queues(&self) -> MutexGuard<'_, HashMap<String, Arc<Queue>>> {
        self.queues.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Answers a request by a read that begins after this call, shared with equal requests.
    pub(crate) async fn read<F, R>(&self, request: &str, send: F) -> Result<Value, Error>
    where
        F: Fn() -> R,
        R: Future<Output = Result<Value, Error>>,
    {
        loop {
            let queue = self.queues().entry(request.to_owned()).or_default().clone();
            match queue.join() {
                Role::Lead(sender) => {
                    let in_flight = queue.in_flight.lock().await;
                    *queue.next() = None;
                    let answer = send().await.map_err(Arc::new);
                    drop(in_flight);
                    let _ = sender.send(Some(answer.clone()));
                    self.remove_unused(request, queue);
                    return answer.map_err(Error::Shared);
                }
                Role::Follow(mut receiver) => {
                    if let Ok(answer) = receiver.wait_for(Option::is_some).await
                        && let Some(answer) = answer.clone()
                    {
                        return answer.map_err(Error::Shared);
                    }
                }
            }
        }
    }

    /// Removes the queue of a request that no other caller uses any more.
    fn remove_unused(&self, request: &str, queue: Arc<Queue>) {
        let mut queues = self.queues();
        if Arc::strong_count(&queue) <= 2 {
            queues.remove(request);
        }
    }
}
