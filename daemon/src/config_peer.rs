//! Queries and pushes between entries about the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Ask;
use lavendergauge_wire::config::Envelope;
use lavendergauge_wire::config::Statement;
use lavendergauge_wire::config::Writer;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::problem;

/// Interval at which an entry queries every other entry.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Deadline of one query.
const QUERY_DEADLINE: Duration = Duration::from_millis(1000);
/// Longest time that the answer to an accepted change waits for the other entries to receive it.
const PUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Path of queries.
pub const QUERY_PATH: &str = "/internal/ask-writer";
/// Path of envelopes that another entry has written.
pub const PUSH_PATH: &str = "/internal/envelope";

/// Queries every other entry periodically, each in a task of its own, until the entry stops.
///
/// Also advances the time of the table of workers, since this loop never waits for an answer.
pub async fn run(entry: Arc<Entry>, mut stopped: watch::Receiver<bool>) {
    let mut queries = JoinSet::new();
    loop {
        while queries.try_join_next().is_some() {}
        entry.core().workers.tick(clock::now());
        for (address, expected) in peers(&entry) {
            let entry = entry.clone();
            queries.spawn(async move { query(&entry, &address, expected).await });
        }
        let pause = QUERY_INTERVAL.mul_f64(rand::random_range(0.8..1.0));
        tokio::select! {
            () = time::sleep(pause) => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}

/// Returns the addresses to query, each with the incarnation that is expected there if known.
fn peers(entry: &Entry) -> BTreeMap<String, Option<u64>> {
    let core = entry.core();
    let mut peers: BTreeMap<String, Option<u64>> = BTreeMap::new();
    if !core.config_view.writers.is_listed() {
        peers.extend(entry.peer_addresses.iter().map(|address| (address.clone(), None)));
    }
    for writer in core.config_view.envelope().iter().flat_map(|envelope| &envelope.writers) {
        peers.insert(writer.address.clone(), Some(writer.incarnation));
    }
    peers.remove(&entry.control_address);
    peers
}

/// Queries one entry for its statement.
async fn query(entry: &Entry, address: &str, expected: Option<u64>) {
    let sent_at = clock::now();
    let serial = entry.core().config_view.serial();
    let query = Ask { version: VERSION, writer: entry.writer(), serial };
    let answer: Result<Statement, client::Error> =
        entry.client.exchange(address, QUERY_PATH, &query, QUERY_DEADLINE).await;
    match answer {
        Ok(statement) => apply_statement(entry, sent_at, address, expected, statement),
        Err(error) => {
            log::debug!("event=entry-silent address={address} cause=\"{error}\"");
            if let Some(expected) = expected {
                entry.core().config_view.writers.record_miss(expected);
            }
        }
    }
}

/// Applies another entry's answer to a query.
fn apply_statement(
    entry: &Entry,
    sent_at: lavendergauge_lib::clock::Millis,
    address: &str,
    expected: Option<u64>,
    mut statement: Statement,
) {
    if statement.writer.incarnation == entry.incarnation {
        return;
    }
    if let Some(envelope) = statement.envelope.take() {
        entry.apply_envelope(envelope);
    }
    let mut core = entry.core();
    core.statements.insert(statement.writer.incarnation, (sent_at, statement.clone()));
    core.config_view.apply_statement(sent_at, &statement);
    let Some(expected) = expected.filter(|_| statement.writer.address == address) else { return };
    if statement.writer.incarnation != expected {
        core.config_view.writers.end(clock::now(), expected);
    }
}

/// Answers another entry's query.
pub fn answer_query(entry: &Entry, body: &Bytes) -> Response<Body> {
    let query: Ask = match codec::unpack(body) {
        Ok(query) => query,
        Err(error) => return problem::bad_input("body", error.to_string()),
    };
    let mut core = entry.core();
    let revision = core.document.revision;
    let statement =
        core.config_view.make_statement(clock::now(), entry.writer(), revision, query.serial);
    drop(core);
    Response::new(body::full(codec::pack(&statement).unwrap_or_default()))
}

/// Answers another entry's push: applies the envelope that it has written.
pub fn answer_push(entry: &Entry, body: &Bytes) -> Response<Body> {
    match codec::unpack::<Envelope>(body) {
        Ok(envelope) => entry.apply_envelope(envelope),
        Err(error) => return problem::bad_input("body", error.to_string()),
    }
    Response::new(body::full(codec::pack(&true).unwrap_or_default()))
}

/// Pushes the newest envelope to the other entries, and waits at most `PUSH_TIMEOUT` for them.
pub async fn push(entry: &Entry) {
    let Some(envelope) = entry.core().config_view.envelope().cloned() else { return };
    let envelope = Arc::new(envelope);
    let mut pushes = JoinSet::new();
    for writer in other_writers(&envelope, entry.incarnation) {
        let (client, envelope) = (entry.client.clone(), envelope.clone());
        pushes.spawn(async move {
            let _: Result<bool, client::Error> =
                client.exchange(&writer.address, PUSH_PATH, &*envelope, PUSH_TIMEOUT).await;
        });
    }
    let all = async { while pushes.join_next().await.is_some() {} };
    let _ = time::timeout(PUSH_TIMEOUT, all).await;
}

fn other_writers(envelope: &Envelope, own: u64) -> impl Iterator<Item = Writer> {
    envelope.writers.iter().filter(move |writer| writer.incarnation != own).cloned()
}
