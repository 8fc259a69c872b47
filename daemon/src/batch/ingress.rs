//! Callers' calls: jobs handed in, asked for and cancelled.
//!
//! Accepting and cancelling are transactions on the job's record that also rest on the
//! configuration's revision, so that neither can happen under a key or queue that is gone.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::HOST;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Intent;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Submission;
use lavendergauge_lib::batch::site::Queue;
use lavendergauge_lib::clock::Millis;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_platform::Error;
use lavendergauge_platform::ingress;
use lavendergauge_platform::operator;
use lavendergauge_platform::store::Committed;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Transaction;
use lavendergauge_wire::codec;
use metrics::counter;
use metrics::histogram;
use tokio::time;

use crate::batch::doubt::Doubt;
use crate::batch::entry::Entry;
use crate::batch::forward;
use crate::batch::keys;
use crate::batch::message;
use crate::batch::message::Forwarded;
use crate::batch::message::Notice;
use crate::batch::message::Query;
use crate::batch::message::Reply;
use crate::batch::planner;
use crate::batch::refusal;
use crate::batch::refusal::Refusal;
use crate::clock;
use crate::logs::Value;

/// Time that a caller waits unless it says otherwise.
const DEADLINE: Duration = Duration::from_secs(3);
/// Part of the caller's time that is kept for the answer's way back.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// Least time that a call is worked on.
const LEAST_TIME: Duration = Duration::from_millis(100);
/// Most bytes of a call's body while no configuration is known: what the store holds in one value.
/// Such a call is refused as not accepted, so that its caller may come again.
const UNKNOWN_BODY_LIMIT: usize = 1 << 20;
/// Deadline of one call to the store.
const STORE_DEADLINE: Duration = Duration::from_millis(800);
/// Pause before a job's state is read again.
const STATE_PAUSE: Duration = Duration::from_millis(60);
/// Tries to read a job's state before the caller is sent elsewhere.
const STATE_TRIES: u32 = 3;
/// Deadline of a question to the planner.
const PLANNER_DEADLINE: Duration = Duration::from_millis(400);
/// Deadline of the word to the planner that a job is there; its watch is the safety net.
const NOTICE_DEADLINE: Duration = Duration::from_millis(800);
/// Age of the configuration from which a refusal for want of a key or queue is checked first.
const FRESH: Duration = Duration::from_millis(100);
/// Part of the time in which a removed key must go out of use for which knowledge is trusted.
const TRUST_PERCENT: u32 = 55;

/// What a call is about.
pub struct Call {
    /// Method.
    pub method: Method,
    /// Host name that the caller gave.
    pub host: String,
    /// Path.
    pub path: String,
    /// Key that the caller showed.
    pub key: String,
    /// When the answer has to be on its way.
    pub until: Millis,
}

/// A call that may go on.
struct Admitted {
    queue: Queue,
    account: String,
    revision: u64,
    /// What follows the queue's prefix.
    rest: String,
}

/// An answer with success.
pub enum Success {
    /// The job is accepted, or cancelled.
    Accepted,
    /// The job's state.
    State(State),
    /// Jobs that wait in the queue.
    Waiting(u64),
    /// What another entry answered.
    Forwarded(Forwarded),
}

/// What a caller is told.
pub struct Told {
    /// Status.
    pub status: StatusCode,
    /// Seconds after which the caller may come back, if that would help.
    pub retry_after_s: Option<u32>,
    /// Body.
    pub body: Bytes,
    /// What a log says of it.
    pub text: &'static str,
}

/// Answers one call.
pub async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let begun = clock::boot();
    let (head, incoming) = request.into_parts();
    let text = |name: &hyper::header::HeaderName| {
        head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let waits = header(ingress::DEADLINE_HEADER)
        .and_then(|value| value.parse::<f64>().ok())
        .map_or(DEADLINE, |ms| Duration::from_millis(ms as u64));
    let host = head.uri.host().map_or_else(|| text(&HOST), str::to_owned);
    let key = text(&AUTHORIZATION);
    let call = Call {
        method: head.method.clone(),
        host,
        path: head.uri.path().to_owned(),
        key: key.strip_prefix("Bearer ").unwrap_or_default().trim().to_owned(),
        until: begun + waits.saturating_sub(DEADLINE_MARGIN).max(LEAST_TIME),
    };
    let outcome = match body::receive(incoming, body_limit(&entry)).await {
        Ok(bytes) => match handle(&entry, &call, bytes.clone()).await {
            Err(refusal) if refusal.is_own() => {
                forward::pass_on(&entry, &call, bytes, refusal).await
            }
            outcome => outcome,
        },
        Err(_) => Err(Refusal::TooLong),
    };
    finish(&entry, &call, begun, outcome)
}

/// Returns the most bytes of a call's body.
fn body_limit(entry: &Entry) -> usize {
    let known = entry.view.known();
    if known.revision == 0 { UNKNOWN_BODY_LIMIT } else { known.config.body_limit }
}

fn finish(
    entry: &Entry,
    call: &Call,
    begun: Millis,
    outcome: Result<Success, Refusal>,
) -> Response<Body> {
    let told = told(&outcome);
    let took = clock::boot().since(begun);
    let status = told.status.as_u16();
    let (version, age) = {
        let version = entry.view.known().config.version;
        (version, entry.view.age().map_or(-1, |age| age.as_millis() as i64))
    };
    log::info!(
        "event=call method={} host={} path={} status={status} outcome={} config={version} \
         config_age_ms={age} ms={}",
        call.method,
        Value(&call.host),
        Value(&call.path),
        Value(told.text),
        took.as_millis()
    );
    counter!("lavendergauge_calls_total", "method" => call.method.to_string(),
        "status" => status.to_string())
    .increment(1);
    histogram!("lavendergauge_call_seconds", "method" => call.method.to_string())
        .record(took.as_secs_f64());
    refusal::response(told.status, told.body, told.retry_after_s)
}

/// Returns what a caller is told of an outcome.
pub fn told(outcome: &Result<Success, Refusal>) -> Told {
    let good = |body: Bytes, text: &'static str| Told {
        status: StatusCode::OK,
        retry_after_s: None,
        body,
        text,
    };
    match outcome {
        Ok(Success::Accepted) => good(Bytes::from_static(b"{}"), "ok"),
        Ok(Success::State(state)) => good(ingress::state(*state), "state"),
        Ok(Success::Waiting(count)) => good(ingress::waiting(*count), "waiting"),
        Ok(Success::Forwarded(answer)) => Told {
            status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
            retry_after_s: answer.retry_after_s,
            body: answer.body.clone(),
            text: "answered by another entry",
        },
        Err(refusal) => Told {
            status: refusal.status(),
            retry_after_s: refusal.retry_after_s(),
            body: ingress::error(refusal.text()),
            text: refusal.text(),
        },
    }
}

/// Carries a call out at this entry.
///
/// # Errors
/// The refusal that the caller is told, or that another entry may do better than.
pub async fn handle(entry: &Arc<Entry>, call: &Call, bytes: Bytes) -> Result<Success, Refusal> {
    let admitted = admit(entry, call).await?;
    let id = Id::parse(&admitted.rest);
    match (&call.method, id) {
        (&Method::POST, Some(id)) => {
            let submission = ingress::job(&bytes).map_err(|cause| {
                log::info!("event=job-malformed job={id} cause={}", Value(&cause));
                Refusal::Malformed
            })?;
            accept(entry, call, admitted, id, submission).await
        }
        (&Method::GET, Some(id)) => state(entry, call, &admitted, id).await,
        (&Method::DELETE, Some(id)) => cancel(entry, call, admitted, id).await,
        (&Method::GET, None) if admitted.rest.is_empty() => waiting(entry, &admitted).await,
        (&Method::POST | &Method::GET | &Method::DELETE, None) => Err(Refusal::NoQueue),
        _ => Err(Refusal::Method),
    }
}

/// Finds the queue and the client account; refuses only by knowledge that is fresh.
async fn admit(entry: &Entry, call: &Call) -> Result<Admitted, Refusal> {
    let found = look_up(entry, call);
    let fresh = entry.view.age().is_some_and(|age| age < FRESH);
    let found = match found {
        Err(_) if !fresh => {
            if let Err(error) = entry.view.refresh(&entry.store).await {
                log::info!("event=config-not-checked cause={}", Value(&error.to_string()));
            }
            look_up(entry, call)
        }
        found => found,
    };
    let trusted = entry.settings.revoke * TRUST_PERCENT / 100;
    match entry.view.age() {
        Some(age) if age < trusted => found,
        _ => Err(Refusal::Unready),
    }
}

fn look_up(entry: &Entry, call: &Call) -> Result<Admitted, Refusal> {
    let known = entry.view.known();
    if known.revision == 0 {
        return Err(Refusal::Unready);
    }
    let queue = known.config.route(&call.host, &call.path).ok_or(Refusal::NoQueue)?;
    let account = known.config.account_of(&call.key);
    if account.is_none() && !queue.public {
        return Err(Refusal::UnknownKey);
    }
    Ok(Admitted {
        queue: queue.clone(),
        account: account.map_or_else(String::new, |account| account.name.clone()),
        revision: known.revision,
        rest: call.path[queue.prefix.len()..].to_owned(),
    })
}

/// Learns from the keys that a transaction was refused with; returns the job's, if it exists.
fn learn(entry: &Entry, id: Id, items: Vec<Item>) -> Option<Item> {
    let mut job = None;
    for item in items {
        if item.key == operator::CONFIG {
            entry.view.learn(&item);
        } else if item.key == keys::job(id) && item.revision != 0 {
            job = Some(item);
        }
    }
    job
}

fn time_is_up(call: &Call) -> bool {
    call.until <= clock::boot()
}

/// Returns the time for one call to the store.
fn bounded(call: &Call) -> Duration {
    call.until.since(clock::boot()).clamp(LEAST_TIME, STORE_DEADLINE)
}

async fn accept(
    entry: &Arc<Entry>,
    call: &Call,
    mut admitted: Admitted,
    id: Id,
    submission: Submission,
) -> Result<Success, Refusal> {
    let mut record = Record {
        submission,
        queue: admitted.queue.clone(),
        account: admitted.account.clone(),
        accepted_ms: clock::wall_ms(),
        intent: Intent::Wanted,
    };
    let mut doubt = Doubt::default();
    // A cancelled job that was never known is replaced by the job in its cancelled state.
    let mut before = 0;
    loop {
        let outcome = write(entry, call, id, before, admitted.revision, &record).await;
        match outcome {
            Ok(Committed::Done(_)) => {
                doubt.settled(id);
                notify(entry, id, record);
                return Ok(Success::Accepted);
            }
            Ok(Committed::Conflict(items)) => {
                if let Some(item) = learn(entry, id, items) {
                    let Some((_, known)) = planner::decode::<Record>(keys::JOBS, &item) else {
                        return Err(Refusal::NotStored);
                    };
                    if known.intent != Intent::Unknown {
                        owned(&admitted, &known.account)?;
                        doubt.settled(id);
                        notify(entry, id, known);
                        return Ok(Success::Accepted);
                    }
                    before = item.revision;
                    record.intent = Intent::Cancelled;
                }
                admitted = look_up(entry, call)?;
                record.queue = admitted.queue.clone();
                record.account = admitted.account.clone();
            }
            Ok(Committed::NoLease) => return Err(Refusal::NotStored),
            Err(error) => doubt.add(id, error).await?,
        }
        doubt.check(id, call.until)?;
    }
}

/// Writes a job's record, under the configuration that the call was admitted by.
async fn write(
    entry: &Entry,
    call: &Call,
    id: Id,
    before: u64,
    config: u64,
    record: &Record,
) -> Result<Committed, Error> {
    let value = codec::pack(record).map_err(|cause| Error::NotDone(cause.to_string()))?;
    let transaction = Transaction {
        conditions: vec![(keys::job(id), before), (operator::CONFIG.to_owned(), config)],
        puts: vec![Put { key: keys::job(id), value, lease: 0 }],
        removals: Vec::new(),
    };
    entry.store.commit(&transaction, bounded(call)).await
}

/// Tells the planner of a record, without waiting for it.
fn notify(entry: &Arc<Entry>, id: Id, record: Record) {
    if let Some(planner) = entry.planner() {
        planner.learn(id, record);
        return;
    }
    let Some(leader) = entry.leader.borrow().clone() else { return };
    let entry = entry.clone();
    tokio::spawn(async move {
        let notice = Notice { id, record };
        let Ok(bytes) = codec::pack(&notice) else { return };
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", leader.address, message::NOTICE))
            .body(body::full(bytes));
        let Ok(request) = request else { return };
        if let Err(error) = entry.client.fetch(request, NOTICE_DEADLINE).await {
            log::info!(
                "event=notice-lost job={id} planner={} cause={}",
                leader.name,
                Value(&error.to_string())
            );
        }
    });
}

/// Asks the planner; `None` when it gives no answer.
async fn ask(entry: &Entry, query: &Query) -> Option<Reply> {
    if let Some(planner) = entry.planner() {
        return Some(planner.tell(query));
    }
    let leader = entry.leader.borrow().clone()?;
    let asked =
        entry.client.exchange(&leader.address, message::QUERY, query, PLANNER_DEADLINE).await;
    match asked {
        Ok(Reply::NotPlanner) => None,
        Ok(told) => Some(told),
        Err(error) => {
            log::info!(
                "event=planner-silent planner={} cause={}",
                leader.name,
                Value(&error.to_string())
            );
            None
        }
    }
}

async fn state(
    entry: &Entry,
    call: &Call,
    admitted: &Admitted,
    id: Id,
) -> Result<Success, Refusal> {
    let mut tries = 0;
    let (state, account) = match ask(entry, &Query::Job(id)).await {
        Some(Reply::Job { state, account, .. }) => (state, account),
        _ => loop {
            match planner::state_from_store(entry, id, bounded(call)).await {
                Ok(Some((_, record))) if record.intent == Intent::Unknown => {
                    return Err(Refusal::NoJob);
                }
                Ok(Some((state, record))) => break (state, record.account),
                Ok(None) => return Err(Refusal::NoJob),
                Err(error) => {
                    let cause = error.to_string();
                    log::info!("event=state-unread job={id} cause={}", Value(&cause));
                    tries += 1;
                    if time_is_up(call) || STATE_TRIES <= tries {
                        return Err(Refusal::Unanswered);
                    }
                    time::sleep(STATE_PAUSE).await;
                }
            }
        },
    };
    owned(admitted, &account)?;
    Ok(Success::State(state))
}

/// A job is its client account's alone, unless its queue is open to everybody.
fn owned(admitted: &Admitted, account: &str) -> Result<(), Refusal> {
    if admitted.queue.public || admitted.account == account {
        return Ok(());
    }
    Err(Refusal::Foreign)
}

async fn cancel(
    entry: &Arc<Entry>,
    call: &Call,
    mut admitted: Admitted,
    id: Id,
) -> Result<Success, Refusal> {
    let mut doubt = Doubt::default();
    loop {
        match cancel_once(entry, call, &admitted, id).await {
            Ok(Cancelled::Now(record)) => {
                doubt.settled(id);
                notify(entry, id, record);
                return Ok(Success::Accepted);
            }
            Ok(Cancelled::Unknown) => return Err(Refusal::NoJob),
            Ok(Cancelled::Changed(items)) => {
                learn(entry, id, items);
                admitted = look_up(entry, call)?;
            }
            Ok(Cancelled::Refused(refusal)) => return Err(refusal),
            Err(error) => doubt.add(id, error).await?,
        }
        doubt.check(id, call.until)?;
    }
}

/// What became of one try to cancel a job.
enum Cancelled {
    /// It is cancelled.
    Now(Record),
    /// There is no such job, and never will be.
    Unknown,
    /// Something has changed meanwhile; these are the keys that it rests on.
    Changed(Vec<Item>),
    /// It cannot be cancelled by this caller.
    Refused(Refusal),
}

/// Reads a job's record and writes it as cancelled; one that is not there yet never runs.
async fn cancel_once(
    entry: &Entry,
    call: &Call,
    admitted: &Admitted,
    id: Id,
) -> Result<Cancelled, Error> {
    let found = entry.store.read(&keys::job(id), bounded(call)).await?;
    let (record, before) = match &found {
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
            let Some((_, mut record)) = planner::decode::<Record>(keys::JOBS, item) else {
                return Ok(Cancelled::Refused(Refusal::NotStored));
            };
            if let Err(refusal) = owned(admitted, &record.account) {
                return Ok(Cancelled::Refused(refusal));
            }
            match record.intent {
                Intent::Unknown => return Ok(Cancelled::Unknown),
                Intent::Cancelled => return Ok(Cancelled::Now(record)),
                Intent::Wanted => record.intent = Intent::Cancelled,
            }
            (record, item.revision)
        }
    };
    match write(entry, call, id, before, admitted.revision, &record).await? {
        Committed::Done(_) if before == 0 => Ok(Cancelled::Unknown),
        Committed::Done(_) => Ok(Cancelled::Now(record)),
        Committed::Conflict(items) => Ok(Cancelled::Changed(items)),
        Committed::NoLease => Ok(Cancelled::Refused(Refusal::NotStored)),
    }
}

async fn waiting(entry: &Entry, admitted: &Admitted) -> Result<Success, Refusal> {
    match ask(entry, &Query::Waiting(admitted.queue.name.clone())).await {
        Some(Reply::Waiting(count)) => Ok(Success::Waiting(count)),
        _ => Err(Refusal::Unanswered),
    }
}
