//! The answer of one request at its agent, kept for whoever asks with the key.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use lavendergauge_wire::part::DATA_LIMIT;
use lavendergauge_wire::part::End;
use lavendergauge_wire::part::Head;
use lavendergauge_wire::part::Headers;
use lavendergauge_wire::part::Part;
use lavendergauge_wire::part::Refusal;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::watch;
use tokio::time;

/// Most bytes of one answer that are kept.
pub const KEEP_LIMIT: usize = 1 << 20;
/// Time for which the target waits for a reader that takes nothing.
const READER_PATIENCE: Duration = Duration::from_secs(60);
/// Most bytes that a reader takes at a time.
const TAKE_LIMIT: usize = 4 * DATA_LIMIT;

#[derive(Debug, Default)]
struct State {
    admitted: bool,
    /// Set when there is and will be no answer.
    over: Option<Part>,
    head: Option<Head>,
    /// Kept chunks of the body, with the offset of the first.
    chunks: VecDeque<Bytes>,
    start: u64,
    total: u64,
    /// Offset up to which some reader has taken the body.
    taken: u64,
    end: Option<End>,
    hash: Sha256,
    readers: u32,
    abandoned: bool,
    cancelled: bool,
}

/// One request's answer as it comes from the target.
///
/// At most [`KEEP_LIMIT`] bytes are held: of a longer answer the newest, and the
/// target waits until a reader has taken the oldest.
#[derive(Debug)]
pub struct Answer {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Default for Answer {
    fn default() -> Self {
        Answer { state: Mutex::default(), changed: watch::channel(()).0 }
    }
}

impl Answer {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.send_replace(());
    }

    /// Says that the request holds a slot and its body may come.
    pub fn admit(&self) {
        self.change(|state| state.admitted = true);
    }

    /// Says that the request did not run.
    pub fn refuse(&self, refusal: Refusal) {
        self.change(|state| state.over = Some(Part::Refused(refusal)));
    }

    /// Says that the request's outcome is in doubt for good.
    pub fn doubt(&self, text: String) {
        self.change(|state| state.over = Some(Part::Doubt(text)));
    }

    /// Takes in the head.
    pub fn head(&self, head: Head) {
        self.change(|state| state.head = Some(head));
    }

    /// Takes in a piece of the body; waits while too much of it is unread.
    pub async fn push(&self, data: Bytes) {
        let mut changed = self.changed.subscribe();
        let room = async {
            while !self.make_room() {
                let _ = changed.changed().await;
            }
        };
        if time::timeout(READER_PATIENCE, room).await.is_err() {
            self.lock().abandoned = true;
        }
        self.change(|state| {
            state.hash.update(&data);
            state.total += data.len() as u64;
            if state.abandoned {
                state.chunks.clear();
                state.start = state.total;
            } else {
                state.chunks.push_back(data);
            }
        });
    }

    /// Drops the oldest chunks that were taken; `false` when unread ones are in the way.
    fn make_room(&self) -> bool {
        let mut state = self.lock();
        while (KEEP_LIMIT as u64) < state.total - state.start {
            let Some(first) = state.chunks.front().map(|chunk| chunk.len() as u64) else { break };
            if state.taken < state.start + first && !state.abandoned {
                return false;
            }
            state.chunks.pop_front();
            state.start += first;
        }
        true
    }

    /// Says that the body is whole.
    pub fn end(&self, trailers: Headers) {
        self.change(|state| {
            let digest = Bytes::copy_from_slice(&state.hash.clone().finalize());
            state.end = Some(End { length: state.total, digest, trailers });
        });
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        let state = self.lock();
        (state.total - state.start) as usize
    }

    /// Asks for the execution to be given up.
    pub fn cancel(&self) {
        self.change(|state| state.cancelled = true);
    }

    /// Waits until the execution is to be given up: cancelled, or without a reader for `patience`.
    pub async fn given_up(&self, patience: Duration) {
        let mut changed = self.changed.subscribe();
        loop {
            if self.lock().cancelled {
                return;
            }
            if 0 < self.lock().readers {
                let _ = changed.changed().await;
            } else if time::timeout(patience, changed.changed()).await.is_err() {
                return;
            }
        }
    }
}

/// One reader of an answer, from an offset on.
#[derive(Debug)]
pub struct Reader {
    answer: Arc<Answer>,
    changed: watch::Receiver<()>,
    offset: u64,
    admitted: bool,
    head: bool,
    over: bool,
}

impl Reader {
    /// Begins to read an answer at an offset of its body.
    pub fn new(answer: Arc<Answer>, offset: u64) -> Self {
        let changed = answer.changed.subscribe();
        answer.change(|state| state.readers += 1);
        Reader { answer, changed, offset, admitted: false, head: false, over: false }
    }

    /// Tells whether the last part has been taken.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Tells whether everything is there to be taken at once.
    pub fn is_complete(&self) -> bool {
        let state = self.answer.lock();
        state.over.is_some() || state.end.is_some()
    }

    /// Waits until something has changed.
    pub async fn changed(&mut self) {
        let _ = self.changed.changed().await;
    }

    /// Takes the parts that are there.
    pub fn take(&mut self) -> Vec<Part> {
        self.changed.borrow_and_update();
        let mut parts = Vec::new();
        let mut state = self.answer.lock();
        if state.admitted && !self.admitted {
            self.admitted = true;
            parts.push(Part::Admitted);
        }
        if let Some(over) = &state.over {
            parts.push(over.clone());
            self.over = true;
            return parts;
        }
        let Some(head) = &state.head else { return parts };
        if self.offset < state.start {
            parts.push(Part::Dropped);
            self.over = true;
            return parts;
        }
        if !self.head {
            self.head = true;
            parts.push(Part::Head(head.clone()));
        }
        self.offset = take_data(&mut state, self.offset, &mut parts);
        if let Some(end) = &state.end
            && self.offset == state.total
        {
            parts.push(Part::End(end.clone()));
            self.over = true;
        }
        drop(state);
        self.answer.changed.send_replace(());
        parts
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.change(|state| state.readers -= 1);
    }
}

/// Takes data from an offset on, and returns the offset after it.
fn take_data(state: &mut State, from: u64, parts: &mut Vec<Part>) -> u64 {
    let mut offset = from;
    let mut at = state.start;
    let mut taken = 0;
    for chunk in &state.chunks {
        let end = at + chunk.len() as u64;
        if offset < end && taken < TAKE_LIMIT {
            let piece = chunk.slice((offset - at) as usize..);
            taken += piece.len();
            push_data(parts, piece);
            offset = end;
        }
        at = end;
    }
    state.taken = state.taken.max(offset);
    offset
}

/// Appends data as parts that are not too long.
pub fn push_data(parts: &mut Vec<Part>, mut data: Bytes) {
    while DATA_LIMIT < data.len() {
        parts.push(Part::Data(data.split_to(DATA_LIMIT)));
    }
    if !data.is_empty() {
        parts.push(Part::Data(data));
    }
}
