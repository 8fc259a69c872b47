//! Calls that read: a job's state, and the number of jobs that wait in a queue.

use std::time::Duration;

use lavendergauge_lib::batch::access::Origin;
use lavendergauge_lib::batch::config::Queue;
use lavendergauge_lib::batch::job::Id;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::ingress;
use crate::batch::ingress::Admitted;
use crate::batch::ingress::Call;
use crate::batch::ingress::Success;
use crate::batch::message;
use crate::batch::message::Query;
use crate::batch::message::Reply;
use crate::batch::record_reader;
use crate::batch::refusal::Refusal;
use crate::logs::Value;

/// Pause before a job's state is read again.
const STATE_PAUSE: Duration = Duration::from_millis(60);
/// Attempts to read a job's state before the call is forwarded to another entry.
const STATE_TRIES: u32 = 3;
/// Deadline of a query to the planner.
const PLANNER_DEADLINE: Duration = Duration::from_millis(400);

/// Queries the planner; `None` when it gives no answer.
async fn query_planner(entry: &Entry, query: &Query) -> Option<Reply> {
    if let Some(planner) = entry.planner() {
        return Some(planner.answer(query));
    }
    let leader = entry.leader.borrow().clone()?;
    let reply =
        entry.client.exchange(&leader.address, message::QUERY, query, PLANNER_DEADLINE).await;
    match reply {
        Ok(Reply::NotPlanner) => None,
        Ok(reply) => Some(reply),
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

/// Reads the state of a job from the planner, or else from the store.
///
/// # Errors
/// The refusal when there is no such job, the call may not access it, or neither of them answers.
pub async fn read_state(
    entry: &Entry,
    call: &Call,
    admitted: &Admitted,
    id: Id,
) -> Result<Success, Refusal> {
    let mut tries = 0;
    let (state, queue, account) = match query_planner(entry, &Query::Job(id)).await {
        Some(Reply::Job { state, account, queue, host, prefix }) => {
            (state, Queue { name: queue, host, prefix, ..Queue::default() }, account)
        }
        _ => loop {
            match record_reader::state_from_store(entry, id, ingress::store_deadline(call)).await {
                Ok(Some((state, record))) => break (state, record.queue, record.account),
                Ok(None) => return Err(Refusal::NoJob),
                Err(error) => {
                    let cause = error.to_string();
                    log::info!("event=state-unread job={id} cause={}", Value(&cause));
                    tries += 1;
                    if ingress::is_past_deadline(call) || STATE_TRIES <= tries {
                        return Err(Refusal::Unanswered);
                    }
                    time::sleep(STATE_PAUSE).await;
                }
            }
        },
    };
    ingress::check_owner(admitted, Origin { queue: &queue, account: &account })?;
    Ok(Success::State(state))
}

/// Asks the planner for the number of jobs that wait in a queue.
///
/// # Errors
/// The refusal when the planner does not answer.
pub async fn count_waiting(entry: &Entry, admitted: &Admitted) -> Result<Success, Refusal> {
    match query_planner(entry, &Query::Waiting(admitted.queue.name.clone())).await {
        Some(Reply::Waiting(count)) => Ok(Success::Waiting(count)),
        _ => Err(Refusal::Unanswered),
    }
}
