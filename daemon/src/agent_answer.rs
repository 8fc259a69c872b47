//! The target's answer to one request, buffered for every entry that asks for it with its key.

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

/// Most bytes of one answer's body that are kept.
pub const MAX_KEPT_BYTES: usize = 1 << 20;
/// Longest time that the target is held up because no reader takes the oldest bytes.
const READER_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes after which one call of [`Reader::take`] takes no further chunk.
const TAKE_LIMIT_BYTES: usize = 4 * DATA_LIMIT;

/// The received part of an answer, and how far it has been read.
#[derive(Debug, Default)]
struct State {
    /// Whether the request holds a slot.
    is_admitted: bool,
    /// Part to send when the request has not run or its outcome is in doubt; no answer follows.
    no_answer: Option<Part>,
    head: Option<Head>,
    /// Kept chunks of the body, which begin at offset `kept_from`.
    chunks: VecDeque<Bytes>,
    kept_from: u64,
    /// Bytes of the body received so far.
    received: u64,
    /// Largest offset up to which a reader has taken the body.
    taken_offset: u64,
    /// Length, digest and trailers; set once the body is complete.
    end: Option<End>,
    /// SHA-256 of the body received so far.
    hash: Sha256,
    reader_count: u32,
    /// Whether the body is no longer kept, because no reader took it within the timeout.
    is_abandoned: bool,
    is_cancelled: bool,
}

/// The answer to one request, filled while the target sends it.
///
/// At most [`MAX_KEPT_BYTES`] bytes are kept. Of a longer answer these are the newest, and the
/// target has to wait until a reader has taken the oldest.
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

    /// Changes the state and wakes everyone who waits for a change.
    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.send_replace(());
    }

    /// Records that the request holds a slot, so that its body may be sent.
    pub fn admit(&self) {
        self.update(|state| state.is_admitted = true);
    }

    /// Records that the request did not run.
    pub fn refuse(&self, refusal: Refusal) {
        self.update(|state| state.no_answer = Some(Part::Refused(refusal)));
    }

    /// Records that the request's outcome is in doubt and will not be resolved.
    pub fn mark_in_doubt(&self, text: String) {
        self.update(|state| state.no_answer = Some(Part::Doubt(text)));
    }

    /// Stores the answer's head.
    pub fn set_head(&self, head: Head) {
        self.update(|state| state.head = Some(head));
    }

    /// Appends a chunk of the body; waits while [`MAX_KEPT_BYTES`] are exceeded by unread data.
    ///
    /// If no reader takes the oldest chunk within `READER_TIMEOUT`, the body is abandoned: it is
    /// still received and hashed to its end, but no longer kept.
    pub async fn push(&self, data: Bytes) {
        let mut changed = self.changed.subscribe();
        let freed = async {
            while !self.drop_taken() {
                let _ = changed.changed().await;
            }
        };
        if time::timeout(READER_TIMEOUT, freed).await.is_err() {
            self.lock().is_abandoned = true;
        }
        self.update(|state| {
            state.hash.update(&data);
            state.received += data.len() as u64;
            if state.is_abandoned {
                state.chunks.clear();
                state.kept_from = state.received;
            } else {
                state.chunks.push_back(data);
            }
        });
    }

    /// Drops the oldest chunks while too many bytes are kept; `false` if one of them is unread.
    fn drop_taken(&self) -> bool {
        let mut state = self.lock();
        while (MAX_KEPT_BYTES as u64) < state.received - state.kept_from {
            let Some(first_bytes) = state.chunks.front().map(|chunk| chunk.len() as u64) else {
                break;
            };
            if state.taken_offset < state.kept_from + first_bytes && !state.is_abandoned {
                return false;
            }
            state.chunks.pop_front();
            state.kept_from += first_bytes;
        }
        true
    }

    /// Records that the body is complete.
    pub fn finish(&self, trailers: Headers) {
        self.update(|state| {
            let digest = Bytes::copy_from_slice(&state.hash.clone().finalize());
            state.end = Some(End { length: state.received, digest, trailers });
        });
    }

    /// Returns the number of body bytes that are kept.
    pub fn kept_bytes(&self) -> usize {
        let state = self.lock();
        (state.received - state.kept_from) as usize
    }

    /// Asks for the execution to be aborted.
    pub fn cancel(&self) {
        self.update(|state| state.is_cancelled = true);
    }

    /// Waits until the execution should be aborted: cancelled, or without a reader for `timeout`.
    pub async fn wait_for_abort(&self, timeout: Duration) {
        let mut changed = self.changed.subscribe();
        loop {
            if self.lock().is_cancelled {
                return;
            }
            if 0 < self.lock().reader_count {
                let _ = changed.changed().await;
            } else if time::timeout(timeout, changed.changed()).await.is_err() {
                return;
            }
        }
    }
}

/// Reads an answer from an offset of its body.
#[derive(Debug)]
pub struct Reader {
    answer: Arc<Answer>,
    changed: watch::Receiver<()>,
    /// Offset of the next byte to take.
    offset: u64,
    /// Whether [`Part::Admitted`] has been taken.
    has_admitted: bool,
    /// Whether the head has been taken.
    has_head: bool,
    /// Whether the last part has been taken.
    is_finished: bool,
}

impl Reader {
    /// Starts to read an answer at an offset of its body.
    pub fn new(answer: Arc<Answer>, offset: u64) -> Self {
        let changed = answer.changed.subscribe();
        answer.update(|state| state.reader_count += 1);
        Reader { answer, changed, offset, has_admitted: false, has_head: false, is_finished: false }
    }

    /// Tells whether the last part has been taken.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Tells whether the answer is complete, so that no further part will arrive.
    pub fn is_complete(&self) -> bool {
        let state = self.answer.lock();
        state.no_answer.is_some() || state.end.is_some()
    }

    /// Waits until the answer has changed since the last [`Reader::take`].
    pub async fn wait_for_change(&mut self) {
        let _ = self.changed.changed().await;
    }

    /// Takes the parts that have arrived since the last call.
    ///
    /// A long answer is taken over several calls. If bytes at the reader's offset are no longer
    /// kept, the only part is [`Part::Dropped`].
    pub fn take(&mut self) -> Vec<Part> {
        self.changed.borrow_and_update();
        let mut parts = Vec::new();
        let mut state = self.answer.lock();
        if state.is_admitted && !self.has_admitted {
            self.has_admitted = true;
            parts.push(Part::Admitted);
        }
        if let Some(part) = &state.no_answer {
            parts.push(part.clone());
            self.is_finished = true;
            return parts;
        }
        let Some(head) = &state.head else { return parts };
        if self.offset < state.kept_from {
            parts.push(Part::Dropped);
            self.is_finished = true;
            return parts;
        }
        if !self.has_head {
            self.has_head = true;
            parts.push(Part::Head(head.clone()));
        }
        self.offset = take_data(&mut state, self.offset, &mut parts);
        if let Some(end) = &state.end
            && self.offset == state.received
        {
            parts.push(Part::End(end.clone()));
            self.is_finished = true;
        }
        drop(state);
        self.answer.changed.send_replace(());
        parts
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.update(|state| state.reader_count -= 1);
    }
}

/// Appends the data from an offset on to `parts`, and returns the offset after it.
fn take_data(state: &mut State, from: u64, parts: &mut Vec<Part>) -> u64 {
    let mut offset = from;
    let mut chunk_start = state.kept_from;
    let mut taken_bytes = 0;
    for chunk in &state.chunks {
        let chunk_end = chunk_start + chunk.len() as u64;
        if offset < chunk_end && taken_bytes < TAKE_LIMIT_BYTES {
            let piece = chunk.slice((offset - chunk_start) as usize..);
            taken_bytes += piece.len();
            push_data(parts, piece);
            offset = chunk_end;
        }
        chunk_start = chunk_end;
    }
    state.taken_offset = state.taken_offset.max(offset);
    offset
}

/// Appends data as parts of at most [`DATA_LIMIT`] bytes.
pub fn push_data(parts: &mut Vec<Part>, mut data: Bytes) {
    while DATA_LIMIT < data.len() {
        parts.push(Part::Data(data.split_to(DATA_LIMIT)));
    }
    if !data.is_empty() {
        parts.push(Part::Data(data));
    }
}
