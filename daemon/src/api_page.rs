//! The status page: one HTML page without scripts, for the operator on call.

use std::collections::BTreeMap;
use std::fmt::Write;

use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use lavendergauge_net::body;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::config::Standing;
use lavendergauge_wire::job::State;

use crate::api::Call;
use crate::api::Reply;
use crate::preview;
use crate::preview::Snapshot;

/// Largest number of waiting jobs that the page explains.
const MAX_EXPLAINED_JOBS: usize = 20;
/// Seconds after which a browser reloads the page.
const REFRESH_S: u32 = 10;
const STYLE: &str = "body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;\
    text-align:left}.held{color:#a33}.free{color:#2a2}.out{color:#888}code{letter-spacing:.1em}";

/// Shows data centres, workers by rack, guarantees and waiting jobs.
///
/// # Errors
/// The problem document when the caller is not an operator, or the store gives no answer.
pub async fn show(call: &Call) -> Reply {
    call.operator()?;
    let snapshot = call.snapshot().await?;
    let mut response = Response::new(body::full(render(&call.entry.name, &snapshot)));
    let media = HeaderValue::from_static("text/html; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, media);
    Ok(response)
}

/// Renders the page.
///
/// ```
/// use lavendergauge_daemon::api_page;
/// use lavendergauge_daemon::config;
/// use lavendergauge_daemon::preview::Snapshot;
/// let snapshot = Snapshot { document: config::empty(), frames: vec![], records: vec![] };
/// assert!(api_page::render("entry-1", &snapshot).contains("revision 0"));
/// ```
pub fn render(entry: &str, snapshot: &Snapshot) -> String {
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><meta http-equiv=\"refresh\" \
         content=\"{REFRESH_S}\"><title>lavendergauge</title><style>{STYLE}</style>\
         <h1>lavendergauge</h1><p>{} at revision {}</p>",
        escape(entry),
        snapshot.document.revision
    );
    write_data_centres(&mut html, snapshot);
    write_guarantees(&mut html, snapshot);
    write_waiting_jobs(&mut html, snapshot);
    html
}

fn write_data_centres(html: &mut String, snapshot: &Snapshot) {
    for zone in &snapshot.document.data_centres {
        let standing = match zone.standing {
            Standing::In => "in",
            Standing::Out => "out",
        };
        let _ = write!(
            html,
            "<h2 class=\"{standing}\">Data centre {} ({standing})</h2><table>",
            escape(&zone.name)
        );
        let mut racks: BTreeMap<&str, Vec<&Frame>> = BTreeMap::new();
        for frame in snapshot.frames.iter().filter(|frame| frame.data_centre == zone.name) {
            racks.entry(&frame.rack).or_default().push(frame);
        }
        for (rack, frames) in racks {
            let _ = write!(html, "<tr><th>{}", escape(rack));
            for frame in frames {
                let _ =
                    write!(html, "<td>{} {}", escape(&frame.worker), render_accelerators(frame));
            }
        }
        html.push_str("</table>");
    }
}

/// Renders a worker's accelerators: filled squares are held, empty squares are free.
fn render_accelerators(frame: &Frame) -> String {
    let is_held = |index: u8| {
        frame.tasks.iter().any(|task| {
            preview::holds_accelerators(task.phase) && task.accelerators.contains(&index)
        })
    };
    let mut html = "<code>".to_owned();
    for index in 0..frame.accelerators {
        html.push_str(if is_held(index) {
            "<span class=\"held\">&#9632;</span>"
        } else {
            "<span class=\"free\">&#9633;</span>"
        });
    }
    html.push_str("</code>");
    html
}

fn write_guarantees(html: &mut String, snapshot: &Snapshot) {
    html.push_str("<h2>Guarantees</h2><table><tr><th>Account<th>Guarantee<th>Accelerators");
    html.push_str("<th>Claimed by<th>Can be met");
    for row in preview::list_guarantees(snapshot) {
        let met = if row.met { "yes".to_owned() } else { format!("no: {}", escape(&row.reason)) };
        let _ = write!(
            html,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{met}",
            escape(&row.account),
            escape(&row.name),
            row.accelerators,
            escape(&row.claimed_by.join(", "))
        );
    }
    html.push_str("</table>");
    write_borrowers(html, snapshot);
}

/// Lists the running jobs that claim no guarantee; a guarantee's owner may preempt them.
fn write_borrowers(html: &mut String, snapshot: &Snapshot) {
    let running = snapshot.records.iter().filter(|record| record.state == State::Running);
    let jobs: Vec<String> = running
        .filter(|record| record.spec.guarantee.is_empty())
        .map(|record| escape(&record.id))
        .collect();
    let list = if jobs.is_empty() { "none".to_owned() } else { jobs.join(", ") };
    let _ = write!(html, "<p>Running without a claim: {list}</p>");
}

fn write_waiting_jobs(html: &mut String, snapshot: &Snapshot) {
    html.push_str("<h2>Waiting jobs</h2><table><tr><th>Job<th>Account<th>Shape<th>Why");
    let jobs = snapshot.records.iter().filter(|record| record.state == State::Waiting);
    for record in jobs.take(MAX_EXPLAINED_JOBS) {
        let _ = write!(
            html,
            "<tr><td>{}<td>{}<td>{}x{}<td>{}",
            escape(&record.id),
            escape(&record.spec.account),
            record.spec.members,
            record.spec.accelerators,
            escape(&preview::explain(snapshot, record).reason)
        );
    }
    html.push_str("</table>");
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
