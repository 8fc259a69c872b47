//! Metrics of a process, in the text format of Prometheus.
//!
//! Names end in their unit. Counters count the events of the log; gauges are set at each scrape.

use std::sync::LazyLock;
use std::time::Duration;

use hyper::Method;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use metrics::counter;
use metrics::gauge;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::time;

use crate::agent::Agent;
use crate::config_status;
use crate::entry::Entry;
use crate::preview;

/// Interval at which the samples of histograms are summarised.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(30);

/// Handle of the process's metrics recorder, which is installed at the first use.
static HANDLE: LazyLock<PrometheusHandle> = LazyLock::new(|| {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // This fails only when a program that embeds the daemon has installed its own recorder; the
    // metrics then go to that one, and this handle renders nothing.
    let _ = metrics::set_global_recorder(recorder);
    handle
});

/// Counts an event of the log, even if its line is not written.
pub fn count_event(name: &str) {
    LazyLock::force(&HANDLE);
    counter!("lavendergauge_events_total", "event" => name.to_owned()).increment(1);
}

/// Sets an entry's gauges and answers a scrape.
pub fn scrape_entry(entry: &Entry) -> Response<Body> {
    LazyLock::force(&HANDLE);
    let core = entry.core();
    let name = entry.name.clone();
    let set = |metric: &'static str, value: f64| {
        gauge!(metric, "process" => name.clone()).set(value);
    };
    let frames = || core.workers.iter().map(|member| &member.frame);
    set("lavendergauge_workers", frames().count() as f64);
    set("lavendergauge_accelerators", frames().map(|f| f64::from(f.accelerators)).sum());
    set(
        "lavendergauge_accelerators_free",
        frames().map(|f| preview::free_accelerators(f) as f64).sum(),
    );
    set("lavendergauge_requests_running", frames().map(|f| f64::from(f.load.slots_used)).sum());
    set("lavendergauge_config_revision", core.document.revision as f64);
    let behind = frames().filter(|frame| frame.revision < core.document.revision).count();
    set("lavendergauge_workers_behind", behind as f64);
    drop(core);
    let age = config_status::read(entry).confirmed_ms;
    set("lavendergauge_config_age_seconds", age.map_or(f64::INFINITY, |ms| ms as f64 / 1000.0));
    scrape()
}

/// Sets an agent's gauges and answers a scrape.
pub fn scrape_agent(agent: &Agent) -> Response<Body> {
    LazyLock::force(&HANDLE);
    let core = agent.core();
    let name = agent.name.clone();
    let set = |metric: &'static str, value: f64| {
        gauge!(metric, "process" => name.clone()).set(value);
    };
    set("lavendergauge_requests_running", f64::from(core.requests.used()));
    set("lavendergauge_config_revision", core.permit.revision() as f64);
    set("lavendergauge_leaving", if core.is_leaving { 1.0 } else { 0.0 });
    drop(core);
    scrape()
}

/// Path at which metrics are served.
pub const PATH: &str = "/metrics";

/// Returns the label of a method in the metrics; callers choose methods freely, and every label is
/// kept.
///
/// ```
/// use hyper::Method;
/// use lavendergauge_daemon::telemetry;
/// assert_eq!(telemetry::method_label(&Method::PUT), "other");
/// ```
pub fn method_label(method: &Method) -> &'static str {
    match *method {
        Method::POST => "POST",
        Method::GET => "GET",
        Method::DELETE => "DELETE",
        _ => "other",
    }
}

/// Summarises the samples of histograms at intervals, which are otherwise kept until a scrape.
pub async fn summarise_samples() {
    let mut interval = time::interval(SUMMARY_INTERVAL);
    loop {
        interval.tick().await;
        HANDLE.run_upkeep();
    }
}

/// Answers a scrape with the metrics recorded so far.
pub fn scrape() -> Response<Body> {
    LazyLock::force(&HANDLE);
    let mut response = Response::new(body::full(HANDLE.render()));
    let media = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}
