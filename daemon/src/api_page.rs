//! The status page: one HTML page without scripts, for a browser beside the pager.

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
use crate::preview::Scene;

/// Most waiting jobs that are explained on the page.
const JOBS: usize = 20;
/// Seconds after which a browser asks for the page again.
const REFRESH_S: u32 = 10;
const STYLE: &str = "body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;\
    text-align:left}.held{color:#a33}.free{color:#2a2}.out{color:#888}code{letter-spacing:.1em}";

/// Shows data centres, workers by rack, guarantees and waiting jobs.
///
/// # Errors
/// The problem document when the caller is no operator, or the store gives no answer.
pub async fn show(call: &Call) -> Reply {
    call.operator()?;
    let scene = call.scene().await?;
    let mut response = Response::new(body::full(page(&call.entry.name, &scene)));
    let media = HeaderValue::from_static("text/html; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, media);
    Ok(response)
}

/// Writes the page of a scene.
///
/// ```
/// use lavendergauge_daemon::api_page;
/// use lavendergauge_daemon::config;
/// use lavendergauge_daemon::preview::Scene;
/// let scene = Scene { document: config::empty(), frames: vec![], records: vec![] };
/// assert!(api_page::page("entry-1", &scene).contains("revision 0"));
/// ```
pub fn page(entry: &str, scene: &Scene) -> String {
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><meta http-equiv=\"refresh\" \
         content=\"{REFRESH_S}\"><title>lavendergauge</title><style>{STYLE}</style>\
         <h1>lavendergauge</h1><p>{} at revision {}</p>",
        escape(entry),
        scene.document.revision
    );
    data_centres(&mut html, scene);
    guarantees(&mut html, scene);
    waiting(&mut html, scene);
    html
}

fn data_centres(html: &mut String, scene: &Scene) {
    for zone in &scene.document.data_centres {
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
        for frame in scene.frames.iter().filter(|frame| frame.data_centre == zone.name) {
            racks.entry(&frame.rack).or_default().push(frame);
        }
        for (rack, frames) in racks {
            let _ = write!(html, "<tr><th>{}", escape(rack));
            for frame in frames {
                let _ = write!(html, "<td>{} {}", escape(&frame.worker), accelerators(frame));
            }
        }
        html.push_str("</table>");
    }
}

/// Draws a worker's accelerators: full squares are held, empty ones are free.
fn accelerators(frame: &Frame) -> String {
    let held = |index: u8| {
        frame
            .tasks
            .iter()
            .any(|task| preview::holds(task.phase) && task.accelerators.contains(&index))
    };
    let mut html = "<code>".to_owned();
    for index in 0..frame.accelerators {
        html.push_str(if held(index) {
            "<span class=\"held\">&#9632;</span>"
        } else {
            "<span class=\"free\">&#9633;</span>"
        });
    }
    html.push_str("</code>");
    html
}

fn guarantees(html: &mut String, scene: &Scene) {
    html.push_str("<h2>Guarantees</h2><table><tr><th>Account<th>Guarantee<th>Accelerators");
    html.push_str("<th>Claimed by<th>Can be met");
    for row in preview::guarantees(scene) {
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
    borrowers(html, scene);
}

/// Lists the jobs that run without claiming a guarantee: an owner's claim may stop them.
fn borrowers(html: &mut String, scene: &Scene) {
    let running = scene.records.iter().filter(|record| record.state == State::Running);
    let jobs: Vec<String> = running
        .filter(|record| record.spec.guarantee.is_empty())
        .map(|record| escape(&record.id))
        .collect();
    let list = if jobs.is_empty() { "nobody".to_owned() } else { jobs.join(", ") };
    let _ = write!(html, "<p>Run without a claim: {list}</p>");
}

fn waiting(html: &mut String, scene: &Scene) {
    html.push_str("<h2>Waiting jobs</h2><table><tr><th>Job<th>Account<th>Shape<th>Why");
    let jobs = scene.records.iter().filter(|record| record.state == State::Waiting);
    for record in jobs.take(JOBS) {
        let _ = write!(
            html,
            "<tr><td>{}<td>{}<td>{}x{}<td>{}",
            escape(&record.id),
            escape(&record.spec.account),
            record.spec.members,
            record.spec.accelerators,
            escape(&preview::explain(scene, record).reason)
        );
    }
    html.push_str("</table>");
}

/// Writes text so that a browser shows it as it is.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
