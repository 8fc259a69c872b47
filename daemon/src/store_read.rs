//! Coalescing of equal reads: callers that ask while a read is on its way share the next one.
//!
//! A read that is already on its way is never joined, since the service may have
//! carried it out before the caller asked; so each caller's answer is at least
//! as new as its question.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde_json::Value;
use tokio::sync::watch;

use crate::store::Error;

/// The answer of a shared read, once it is there.
type Answer = Option<Result<Value, Arc<Error>>>;

/// The reads of one question.
#[derive(Debug, Default)]
struct Line {
    turn: tokio::sync::Mutex<()>,
    next: Mutex<Option<watch::Receiver<Answer>>>,
}

impl Line {
    fn next(&self) -> MutexGuard<'_, Option<watch::Receiver<Answer>>> {
        self.next.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Joins the read that has not begun yet, or becomes the one who makes it.
    fn join(&self) -> Part {
        let mut next = self.next();
        if let Some(known) = next.as_ref()
            && known.has_changed().is_ok()
        {
            return Part::Follow(known.clone());
        }
        let (sender, receiver) = watch::channel(None);
        *next = Some(receiver);
        Part::Lead(sender)
    }
}

/// A caller's part in a shared read.
enum Part {
    /// Make the read and tell the others.
    Lead(watch::Sender<Answer>),
    /// Wait for another caller's read.
    Follow(watch::Receiver<Answer>),
}

/// The reads that are on their way, by question.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    lines: Mutex<HashMap<String, Arc<Line>>>,
}

impl Reads {
    fn lines(&self) -> MutexGuard<'_, HashMap<String, Arc<Line>>> {
        self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Answers a question by a read that begins after now, shared with equal questions.
    pub(crate) async fn ask<F, R>(&self, question: &str, read: F) -> Result<Value, Error>
    where
        F: Fn() -> R,
        R: Future<Output = Result<Value, Error>>,
    {
        loop {
            let line = self.lines().entry(question.to_owned()).or_default().clone();
            match line.join() {
                Part::Lead(sender) => {
                    let turn = line.turn.lock().await;
                    *line.next() = None;
                    let answer = read().await.map_err(Arc::new);
                    drop(turn);
                    let _ = sender.send(Some(answer.clone()));
                    self.tidy(question, line);
                    return answer.map_err(Error::Shared);
                }
                Part::Follow(mut receiver) => {
                    if let Ok(answer) = receiver.wait_for(Option::is_some).await
                        && let Some(answer) = answer.clone()
                    {
                        return answer.map_err(Error::Shared);
                    }
                }
            }
        }
    }

    /// Forgets a question that nobody asks any more.
    fn tidy(&self, question: &str, line: Arc<Line>) {
        let mut lines = self.lines();
        if Arc::strong_count(&line) <= 2 {
            lines.remove(question);
        }
    }
}
