//! Calls of callers: submitting jobs, querying their state and cancelling them.
//!
//! Accepting and cancelling are transactions on the job's record that are also conditional on the
//! configuration's revision, so that neither can happen with a removed key or queue.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::EXPECT;
use hyper::header::HOST;
use lavendergauge_lib::batch::access;
use lavendergauge_lib::batch::access::Origin;
use lavendergauge_lib::batch::config::Account;
use lavendergauge_lib::batch::config::Config;
use lavendergauge_lib::batch::config::Queue;
use lavendergauge_lib::batch::gate::Newcomer;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Intent;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Submission;
use lavendergauge_lib::clock::Millis;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_platform::Error;
use lavendergauge_platform::ingress;
use lavendergauge_platform::operator;
use lavendergauge_platform::store::CommitOutcome;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Transaction;
use lavendergauge_wire::codec;
use metrics::counter;
use metrics::histogram;

use crate::batch::admission;
use crate::batch::arrival::Arrival;
use crate::batch::config_view;
use crate::batch::entry::Entry;
use crate::batch::forward;
use crate::batch::in_doubt::InDoubt;
use crate::batch::keys;
use crate::batch::message;
use crate::batch::message::Forwarded;
use crate::batch::message::NoticeReply;
use crate::batch::message::RecordNotice;
use crate::batch::query;
use crate::batch::reception;
use crate::batch::record_codec;
use crate::batch::record_reader;
use crate::batch::refusal;
use crate::batch::refusal::Refusal;
use crate::clock;
use crate::logs::Value;
use crate::telemetry;

/// Deadline of a call whose caller sets none.
const DEADLINE: Duration = Duration::from_secs(3);
/// Part of the caller's deadline that is reserved for returning the answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// Longest deadline of a call; a longer one is shortened to it.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);
/// Least time for which a call is processed, however short its deadline.
const LEAST_TIME: Duration = Duration::from_millis(100);
/// Deadline of one call to the store.
const STORE_DEADLINE: Duration = Duration::from_millis(800);
/// Deadline of the notice of a job's record to the planner, whose watch covers for a lost notice.
const NOTICE_DEADLINE: Duration = Duration::from_millis(800);
/// Time after which a caller may submit a job again that a later call of it was refused, in seconds.
const RETRY_SUPERSEDED_S: u32 = 1;
/// Age of the configuration from which it is read again before a key or queue is refused.
const FRESH: Duration = Duration::from_millis(100);
/// Longest age at which the configuration is trusted, as a percentage of the time within which a
/// removed key must stop working.
const TRUST_PERCENT: u32 = 55;

/// The parts of a call that decide how it is served.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Host name from the caller's request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// API key from the caller's request; empty for none.
    pub key: String,
    /// Time by which the answer must be sent.
    pub deadline: Millis,
}

/// The queue and client account of an admitted call.
pub struct Admitted {
    /// The queue.
    pub queue: Queue,
    account: String,
    /// Accelerators that are guaranteed to the account.
    guaranteed: u32,
    config: Arc<Config>,
    revision: u64,
    arrival: Arrival,
    /// The path after the queue's prefix: a job's identifier, or empty.
    path_rest: String,
}

/// The result of a successful call.
pub enum Success {
    /// The job is accepted, or cancelled.
    Accepted,
    /// The job's state.
    State(State),
    /// Number of jobs that wait in the queue.
    Waiting(u64),
    /// The answer of another entry that the call was forwarded to.
    Forwarded(Forwarded),
}

/// An answer to a caller.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Seconds after which the caller may retry; `None` if a retry would not help.
    pub retry_after_s: Option<u32>,
    /// Body.
    pub body: Bytes,
    /// Outcome for the log line.
    pub text: &'static str,
}

/// Serves one call, or forwards it to another entry if this one cannot serve it.
pub async fn on_request(entry: Arc<Entry>, request: Request<Body>) -> Response<Body> {
    let started_at = clock::boot();
    let (head, incoming) = request.into_parts();
    let text = |name: &hyper::header::HeaderName| {
        head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let timeout = header(ingress::DEADLINE_HEADER)
        .and_then(|value| value.parse::<f64>().ok())
        .map_or(DEADLINE, |ms| Duration::from_millis(ms as u64).min(MAX_DEADLINE));
    let host = head.uri.host().map_or_else(|| text(&HOST), str::to_owned);
    let key = text(&AUTHORIZATION);
    let call = Call {
        method: head.method.clone(),
        host,
        path: head.uri.path().to_owned(),
        key: key.strip_prefix("Bearer ").unwrap_or_default().trim().to_owned(),
        deadline: started_at + timeout.saturating_sub(DEADLINE_MARGIN).max(LEAST_TIME),
    };
    let outcome = match reception::refuse_early(&entry, &call, &incoming).await {
        Some(refusal) => {
            // A caller that waits for the go-ahead has not sent its body yet.
            if !head.headers.contains_key(EXPECT) {
                body::discard(incoming).await;
            }
            Err(refusal)
        }
        None => serve(&entry, &call, incoming).await,
    };
    finish(&entry, &call, started_at, outcome)
}

/// Receives the body of a call and serves the call, or forwards it.
async fn serve(entry: &Arc<Entry>, call: &Call, body: Body) -> Result<Success, Refusal> {
    let bytes = reception::receive(entry, call, body).await?;
    match handle(entry, call, bytes.clone()).await {
        Err(refusal) if refusal.is_local() => {
            forward::forward_call(entry, call, bytes, refusal).await
        }
        outcome => outcome,
    }
}

fn finish(
    entry: &Entry,
    call: &Call,
    started_at: Millis,
    outcome: Result<Success, Refusal>,
) -> Response<Body> {
    let answer = make_answer(&outcome);
    let duration = clock::boot().since(started_at);
    let status = answer.status.as_u16();
    let (version, age) = {
        let version = entry.config_view.state().config.version;
        (version, entry.config_view.age().map_or(-1, |age| age.as_millis() as i64))
    };
    log::info!(
        "event=call method={} host={} path={} status={status} outcome={} config={version} \
         config_age_ms={age} ms={}",
        call.method,
        Value(&call.host),
        Value(&call.path),
        Value(answer.text),
        duration.as_millis()
    );
    let method = telemetry::method_label(&call.method);
    counter!("lavendergauge_calls_total", "method" => method,
        "status" => status.to_string())
    .increment(1);
    histogram!("lavendergauge_call_seconds", "method" => method).record(duration.as_secs_f64());
    refusal::response(answer.status, answer.body, answer.retry_after_s)
}

/// Converts a call's outcome into the answer to its caller.
pub fn make_answer(outcome: &Result<Success, Refusal>) -> Answer {
    let good = |body: Bytes, text: &'static str| Answer {
        status: StatusCode::OK,
        retry_after_s: None,
        body,
        text,
    };
    match outcome {
        Ok(Success::Accepted) => good(Bytes::from_static(b"{}"), "ok"),
        Ok(Success::State(state)) => good(ingress::encode_state(*state), "state"),
        Ok(Success::Waiting(count)) => good(ingress::encode_waiting(*count), "waiting"),
        Ok(Success::Forwarded(answer)) => Answer {
            status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
            retry_after_s: answer.retry_after_s,
            body: answer.body.clone(),
            text: "answered by another entry",
        },
        Err(refusal) => Answer {
            status: refusal.status(),
            retry_after_s: refusal.retry_after_s(),
            body: ingress::encode_error(refusal.text()),
            text: refusal.text(),
        },
    }
}

/// Serves a call at this entry.
///
/// # Errors
/// The refusal for the caller; the call may be forwarded if [`Refusal::is_local`] holds for it.
pub async fn handle(entry: &Arc<Entry>, call: &Call, bytes: Bytes) -> Result<Success, Refusal> {
    let admitted = admit(entry, call).await?;
    let id = Id::parse(&admitted.path_rest);
    match (&call.method, id) {
        (&Method::POST, Some(id)) => {
            let _share = reception::hold_room(entry, &bytes).await?;
            let submission = ingress::parse_job(&bytes).map_err(|cause| {
                log::info!("event=job-malformed job={id} cause={}", Value(&cause));
                Refusal::Malformed
            })?;
            if !record_codec::fits(&submission, entry.settings.store_value_bytes) {
                log::info!(
                    "event=job-unstorable job={id} cause=\"its progress could not be stored\""
                );
                return Err(Refusal::Unstorable);
            }
            accept(entry, call, admitted, id, submission).await
        }
        (&Method::GET, Some(id)) => query::read_state(entry, call, &admitted, id).await,
        (&Method::DELETE, Some(id)) => cancel(entry, call, admitted, id).await,
        (&Method::GET, None) if admitted.path_rest.is_empty() => {
            query::count_waiting(entry, &admitted).await
        }
        (&Method::POST | &Method::GET | &Method::DELETE, None) => Err(Refusal::NoQueue),
        _ => Err(Refusal::Method),
    }
}

/// Finds the call's queue and client account.
///
/// A key or queue is refused only by a configuration that has just been read.
pub async fn admit(entry: &Entry, call: &Call) -> Result<Admitted, Refusal> {
    let max_age = entry.settings.revoke * TRUST_PERCENT / 100;
    let is_younger =
        |view: &config_view::State, limit: Duration| view.age().is_some_and(|age| age < limit);
    let (arrival, refusal) = {
        let mut view = entry.config_view.state();
        let arrival = view.arrivals.arrive();
        match find_queue(&view, call, arrival) {
            Err(refusal) if !is_younger(&view, FRESH) => (arrival, refusal),
            _ if !is_younger(&view, max_age) => return Err(Refusal::Unready),
            found => {
                view.arrivals.decide(arrival);
                return found;
            }
        }
    };
    if let Err(error) = entry.config_view.refresh(&entry.store).await {
        log::info!("event=config-not-checked cause={}", Value(&error.to_string()));
    }
    let mut view = entry.config_view.state();
    if !is_younger(&view, max_age) {
        return Err(Refusal::Unready);
    }
    decide_again(&mut view, call, arrival, Some(refusal))
}

/// Finds the call's queue and client account after the configuration has changed.
fn readmit(entry: &Entry, call: &Call, admitted: &Admitted) -> Result<Admitted, Refusal> {
    decide_again(&mut entry.config_view.state(), call, admitted.arrival, None)
}

/// Decides a call by the present configuration that an earlier one has refused with `refusal`, or
/// admitted.
///
/// While the call waited, an older configuration may have decided later calls. To callers, an
/// entry would go back to that one if the present one gave this call another result.
fn decide_again(
    view: &mut config_view::State,
    call: &Call,
    arrival: Arrival,
    refusal: Option<Refusal>,
) -> Result<Admitted, Refusal> {
    let found = find_queue(view, call, arrival);
    if found.as_ref().err().copied() != refusal && view.arrivals.is_overtaken(arrival) {
        log::info!(
            "event=call-overtaken method={} path={} config={}",
            call.method,
            Value(&call.path),
            view.config.version
        );
        counter!("lavendergauge_calls_overtaken_total").increment(1);
        return Err(Refusal::Overtaken);
    }
    view.arrivals.decide(arrival);
    found
}

fn find_queue(
    view: &config_view::State,
    call: &Call,
    arrival: Arrival,
) -> Result<Admitted, Refusal> {
    let (queue, account) = find_account(view, call)?;
    Ok(Admitted {
        queue: queue.clone(),
        account: account.map_or_else(String::new, |account| account.name.clone()),
        guaranteed: account.map_or(0, |account| account.guaranteed),
        config: view.config.clone(),
        revision: view.revision,
        arrival,
        path_rest: call.path[queue.prefix.len()..].to_owned(),
    })
}

/// Finds a call's queue, and the client account of its key; a call of a public queue needs none.
pub fn find_account<'a>(
    view: &'a config_view::State,
    call: &Call,
) -> Result<(&'a Queue, Option<&'a Account>), Refusal> {
    if view.revision == 0 {
        return Err(Refusal::Unready);
    }
    let queue = view.config.route(&call.host, &call.path).ok_or(Refusal::NoQueue)?;
    let account = view.config.account_of(&call.key);
    if account.is_none() && !queue.public {
        return Err(Refusal::UnknownKey);
    }
    Ok((queue, account))
}

/// Applies the current items that a conflicting transaction returned; returns the job's, if any.
fn apply_conflict(entry: &Entry, id: Id, items: Vec<Item>) -> Option<Item> {
    let mut job = None;
    for item in items {
        if item.key == operator::CONFIG_KEY {
            entry.config_view.apply_config(&item);
        } else if item.key == keys::job(id) && item.revision != 0 {
            job = Some(item);
        }
    }
    job
}

/// Tells whether the deadline of a call has passed.
pub fn is_past_deadline(call: &Call) -> bool {
    call.deadline <= clock::boot()
}

/// Returns the deadline of one call to the store.
pub fn store_deadline(call: &Call) -> Duration {
    call.deadline.since(clock::boot()).clamp(LEAST_TIME, STORE_DEADLINE)
}

async fn accept(
    entry: &Arc<Entry>,
    call: &Call,
    mut admitted: Admitted,
    id: Id,
    submission: Submission,
) -> Result<Success, Refusal> {
    let newcomer = Newcomer {
        id,
        queue: &admitted.queue,
        guaranteed: admitted.guaranteed,
        submission: &submission,
    };
    if let Some(refused) = admission::decide(entry, &newcomer) {
        match write_refused(entry, call, &admitted, id).await? {
            Written::Refused => {
                entry.admission.record_refusal(id);
                admission::log_refused(id, &admitted.queue.name, &admitted.account, &refused);
                return Err(Refusal::Overloaded { retry_after_s: refused.retry_after_s });
            }
            Written::Accepted => return Ok(Success::Accepted),
            Written::Cancelled => {}
        }
    }
    let mut record = Record {
        submission,
        queue: admitted.queue.clone(),
        account: admitted.account.clone(),
        accepted_ms: clock::wall_ms(),
        intent: Intent::Wanted,
    };
    let mut in_doubt = InDoubt::default();
    // Revision of the record to replace, 0 for none: the record of a cancellation that came before
    // the job is replaced by the job, marked as cancelled if the call that cancelled it may access the
    // job, and that of a refusal by the job.
    let mut revision = 0;
    loop {
        let outcome = write(entry, call, id, revision, admitted.revision, &record).await;
        match outcome {
            Ok(CommitOutcome::Done(_)) => {
                in_doubt.log_resolved(id);
                entry.admission.record_acceptance(id);
                notify(entry, id, record);
                return Ok(Success::Accepted);
            }
            Ok(CommitOutcome::Conflict(items)) => {
                if let Some(item) = apply_conflict(entry, id, items) {
                    let Some(known) = record_reader::decode::<Record>(&item) else {
                        return Err(Refusal::NotStored);
                    };
                    if known.intent == Intent::Refused {
                        check_owner(&admitted, origin(&known))?;
                        // A refusal that may be later than this call has been told to the caller.
                        let is_known = item.revision == revision;
                        if !is_known && (revision != 0 || in_doubt.has_failed()) {
                            return match write_refused(entry, call, &admitted, id).await? {
                                Written::Refused => {
                                    Err(Refusal::Overloaded { retry_after_s: RETRY_SUPERSEDED_S })
                                }
                                Written::Accepted => Ok(Success::Accepted),
                                Written::Cancelled => Err(Refusal::InDoubt),
                            };
                        }
                    } else if known.intent != Intent::Unknown {
                        check_owner(&admitted, origin(&known))?;
                        in_doubt.log_resolved(id);
                        notify(entry, id, known);
                        return Ok(Success::Accepted);
                    }
                    revision = item.revision;
                    if is_cancelled_by(&admitted, &record, &known) {
                        record.intent = Intent::Cancelled;
                    }
                }
                admitted = readmit(entry, call, &admitted)?;
                record.queue = admitted.queue.clone();
                record.account = admitted.account.clone();
            }
            Ok(CommitOutcome::NoLease) => return Err(Refusal::NotStored),
            Err(error) => in_doubt.record_failure(id, error).await?,
        }
        in_doubt.check(id, call.deadline)?;
    }
}

/// Result of the write of a refusal.
enum Written {
    /// The job is refused: no earlier write of it can take effect any more.
    Refused,
    /// The job is accepted already.
    Accepted,
    /// The job was cancelled before, so that it never runs.
    Cancelled,
}

/// Writes the record of a refused job.
///
/// It replaces that of an earlier refusal, so that every write that is conditional on that one's
/// revision fails too.
///
/// # Errors
/// The refusal for the caller when the store does not answer or refuses.
async fn write_refused(
    entry: &Arc<Entry>,
    call: &Call,
    admitted: &Admitted,
    id: Id,
) -> Result<Written, Refusal> {
    let mut record = Record {
        submission: Submission::default(),
        queue: admitted.queue.clone(),
        account: admitted.account.clone(),
        accepted_ms: clock::wall_ms(),
        intent: Intent::Refused,
    };
    let mut config = admitted.revision;
    let mut in_doubt = InDoubt::default();
    let mut revision = 0;
    loop {
        match write(entry, call, id, revision, config, &record).await {
            Ok(CommitOutcome::Done(_)) => {
                in_doubt.log_resolved(id);
                return Ok(Written::Refused);
            }
            Ok(CommitOutcome::Conflict(items)) => {
                if let Some(item) = apply_conflict(entry, id, items) {
                    let Some(known) = record_reader::decode::<Record>(&item) else {
                        return Err(Refusal::NotStored);
                    };
                    if is_cancelled_by(admitted, &record, &known) {
                        return Ok(Written::Cancelled);
                    }
                    if known.intent != Intent::Unknown {
                        check_owner(admitted, origin(&known))?;
                    }
                    match known.intent {
                        Intent::Refused | Intent::Unknown => revision = item.revision,
                        Intent::Wanted | Intent::Cancelled => {
                            in_doubt.log_resolved(id);
                            notify(entry, id, known);
                            return Ok(Written::Accepted);
                        }
                    }
                }
                let admitted = readmit(entry, call, admitted)?;
                config = admitted.revision;
                record.queue = admitted.queue;
                record.account = admitted.account;
            }
            Ok(CommitOutcome::NoLease) => return Err(Refusal::NotStored),
            Err(error) => in_doubt.record_failure(id, error).await?,
        }
        in_doubt.check(id, call.deadline)?;
    }
}

/// Writes a job's record, if the configuration is still the one that the call was admitted with.
async fn write(
    entry: &Entry,
    call: &Call,
    id: Id,
    revision: u64,
    config: u64,
    record: &Record,
) -> Result<CommitOutcome, Error> {
    let value = record_codec::encode_record(record, entry.settings.store_value_bytes)
        .map_err(|cause| Error::Refused(cause.to_string()))?;
    let transaction = Transaction {
        conditions: vec![(keys::job(id), revision), (operator::CONFIG_KEY.to_owned(), config)],
        puts: vec![Put { key: keys::job(id), value, lease: 0 }],
        removals: Vec::new(),
    };
    entry.store.commit(&transaction, store_deadline(call)).await
}

/// Sends a record to the planner in the background.
fn notify(entry: &Arc<Entry>, id: Id, record: Record) {
    if let Some(planner) = entry.planner() {
        planner.load_record(id, record);
        return;
    }
    let Some(leader) = entry.leader.borrow().clone() else { return };
    let entry = entry.clone();
    tokio::spawn(async move {
        let notice = RecordNotice { id, record };
        let Ok(bytes) = codec::pack(&notice) else { return };
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", leader.address, message::NOTICE))
            .body(body::full(bytes));
        let Ok(request) = request else { return };
        let sent_at = clock::boot();
        match entry.client.fetch(request, NOTICE_DEADLINE).await {
            Ok(answer) => {
                // An earlier version answers with an empty body.
                let reply = codec::unpack::<NoticeReply>(answer.body()).unwrap_or_default();
                if let Some(digest) = reply.digest {
                    entry.admission.receive(digest, sent_at, 0);
                }
            }
            Err(error) => log::info!(
                "event=notice-lost job={id} planner={} cause={}",
                leader.name,
                Value(&error.to_string())
            ),
        }
    });
}

/// Checks that a call may access the job of a submission, see [`access::is_allowed`].
pub fn check_owner(admitted: &Admitted, submission: Origin<'_>) -> Result<(), Refusal> {
    let call = Origin { queue: &admitted.queue, account: &admitted.account };
    if access::is_allowed(&admitted.config, call, submission) {
        Ok(())
    } else {
        Err(Refusal::Foreign)
    }
}

/// Tells whether `known` is the record of a cancellation that came before the submission of `record`, by
/// a call that may access the job.
fn is_cancelled_by(admitted: &Admitted, record: &Record, known: &Record) -> bool {
    known.intent == Intent::Unknown
        && access::is_allowed(&admitted.config, origin(known), origin(record))
}

/// Returns where the call came from that wrote a record.
fn origin(record: &Record) -> Origin<'_> {
    Origin { queue: &record.queue, account: &record.account }
}

async fn cancel(
    entry: &Arc<Entry>,
    call: &Call,
    mut admitted: Admitted,
    id: Id,
) -> Result<Success, Refusal> {
    let mut in_doubt = InDoubt::default();
    loop {
        match cancel_once(entry, call, &admitted, id).await {
            Ok(Cancellation::Done(record)) => {
                in_doubt.log_resolved(id);
                notify(entry, id, record);
                return Ok(Success::Accepted);
            }
            Ok(Cancellation::Unknown) => return Err(Refusal::NoJob),
            Ok(Cancellation::Changed(items)) => {
                apply_conflict(entry, id, items);
                admitted = readmit(entry, call, &admitted)?;
            }
            Ok(Cancellation::Refused(refusal)) => return Err(refusal),
            Err(error) => in_doubt.record_failure(id, error).await?,
        }
        in_doubt.check(id, call.deadline)?;
    }
}

/// Result of one attempt to cancel a job.
enum Cancellation {
    /// The job is cancelled.
    Done(Record),
    /// There is no such job, and a later submission of it will not run.
    Unknown,
    /// A condition of the write failed; these are the current values of its keys.
    Changed(Vec<Item>),
    /// The cancellation is refused.
    Refused(Refusal),
}

/// Reads a job's record and writes it as cancelled.
///
/// For a job without a record it writes one that keeps a later submission from running.
async fn cancel_once(
    entry: &Entry,
    call: &Call,
    admitted: &Admitted,
    id: Id,
) -> Result<Cancellation, Error> {
    let found = entry.store.read(&keys::job(id), store_deadline(call)).await?;
    let (record, revision) = match &found {
        None => {
            let record = Record {
                submission: Submission::default(),
                queue: admitted.queue.clone(),
                account: admitted.account.clone(),
                accepted_ms: clock::wall_ms(),
                intent: Intent::Unknown,
            };
            (record, 0)
        }
        Some(item) => {
            let Some(mut record) = record_reader::decode::<Record>(item) else {
                return Ok(Cancellation::Refused(Refusal::NotStored));
            };
            if let Err(refusal) = check_owner(admitted, origin(&record)) {
                return Ok(Cancellation::Refused(refusal));
            }
            match record.intent {
                Intent::Unknown => return Ok(Cancellation::Unknown),
                // Like a job without a record: no later submission of it runs.
                Intent::Refused => record.intent = Intent::Unknown,
                Intent::Cancelled => return Ok(Cancellation::Done(record)),
                Intent::Wanted => record.intent = Intent::Cancelled,
            }
            (record, item.revision)
        }
    };
    match write(entry, call, id, revision, admitted.revision, &record).await? {
        CommitOutcome::Done(_) if record.intent == Intent::Unknown => Ok(Cancellation::Unknown),
        CommitOutcome::Done(_) => Ok(Cancellation::Done(record)),
        CommitOutcome::Conflict(items) => Ok(Cancellation::Changed(items)),
        CommitOutcome::NoLease => Ok(Cancellation::Refused(Refusal::NotStored)),
    }
}
