//! Exactly one outcome on every path, and one execution for each key.

mod request_support;

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use lavendergauge_fakes::kv::Fault;
use lavendergauge_fakes::target::WORK_HEADER;
use request_support::Sent;
use request_support::outcome;
use request_support::problem;
use tokio::time;

#[tokio::test(flavor = "multi_thread")]
async fn key_repeated() {
    let env = request_support::start(2, 2).await;
    for index in 0..10 {
        let key = format!("twin-{index}");
        let sent = || Sent::default().key(&key).header(WORK_HEADER, 30);
        let (one, other) = tokio::join!(env.send(0, sent()), env.send(1, sent()));
        assert_eq!(one.status(), StatusCode::OK, "{:?}", one.body());
        assert_eq!(one.body(), other.body());
        assert_eq!((outcome(&one), outcome(&other)), ("ran", "ran"));
        let later = env.send(1, sent()).await;
        assert_eq!(later.body(), one.body());
        assert_eq!(env.executions(&key), 1);
    }
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_mismatch() {
    let env = request_support::start(2, 1).await;
    assert_eq!(env.send(0, Sent::default().key("bill")).await.status(), StatusCode::OK);
    let other = Sent { body: Bytes::from_static(b"other"), ..Sent::default() };
    let refused = env.send(1, other.key("bill")).await;
    assert_eq!(refused.status(), StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(problem(&refused)["field"], "idempotency-key");
    assert_eq!(outcome(&refused), "not-run");
    let apart = Sent { account: "brno", body: Bytes::from_static(b"other"), ..Sent::default() };
    assert_eq!(env.send(1, apart.key("bill")).await.status(), StatusCode::OK);
    assert_eq!(env.executions("bill"), 2, "client accounts have keys of their own");
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_passed() {
    let env = request_support::start(2, 2).await;
    let sent = || Sent::default().key("late").header(WORK_HEADER, 800);
    let doubt = env.send(0, sent().header("lavendergauge-deadline-ms", 200)).await;
    assert_eq!(doubt.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(problem(&doubt)["outcome"], "unknown");
    let report = ask(&env, 1, "late", "").await;
    assert_eq!((&report["outcome"], &report["running"]), (&"unknown".into(), &true.into()));
    let answer = env.send(1, sent()).await;
    assert_eq!(answer.body().as_ref(), b"/check sweep");
    assert_eq!(env.executions("late"), 1);
    assert_eq!(ask(&env, 0, "late", "").await["outcome"], "ran");
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drawn_key_asked() {
    let env = request_support::start(2, 1).await;
    let sent = Sent::default().header(WORK_HEADER, 500).header("lavendergauge-deadline-ms", 100);
    let doubt = env.send(0, sent).await;
    let path = doubt.headers()["location"].to_str().expect("text").to_owned();
    let handle = path.strip_prefix("/v1/outcomes/").expect("path of an outcome");
    let answer = fetch(&env, 1, &format!("{path}/answer")).await;
    assert_eq!(answer.body().as_ref(), b"/check sweep");
    assert_eq!(ask(&env, 1, handle, "").await["outcome"], "ran");
    assert_eq!(env.all_executions(), 1);
    env.stop().await;
}

async fn fetch(env: &request_support::Env, entry: usize, path: &str) -> hyper::Response<Bytes> {
    let address = env.fleet.entries[entry].control_address;
    let request = hyper::Request::builder()
        .uri(format!("http://{address}{path}"))
        .header("lavendergauge-account", "vrbovec")
        .body(lavendergauge_net::body::empty())
        .expect("request");
    env.client.fetch(request, request_support::DEADLINE).await.expect("an answer")
}

async fn ask(env: &request_support::Env, entry: usize, key: &str, more: &str) -> serde_json::Value {
    problem(&fetch(env, entry, &format!("/v1/outcomes/{key}{more}")).await)
}

#[tokio::test(flavor = "multi_thread")]
async fn unclaimed_key() {
    let env = request_support::start(1, 1).await;
    let answer = fetch(&env, 0, "/v1/outcomes/never-given").await;
    assert_eq!(answer.status(), StatusCode::NOT_FOUND);
    assert_eq!(problem(&answer)["outcome"], "unknown", "a claim may have lapsed");
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_replaced() {
    let mut env = request_support::start(1, 1).await;
    assert_eq!(outcome(&env.send(0, Sent::default().key("once")).await), "ran");
    let agent = env.workers[0].agent.take().expect("an agent");
    agent.stop().await;
    let settings = env.workers[0].settings.clone();
    let successor = request_support::start_agent(&settings).await;
    let after = env.send(0, Sent::default().key("once")).await;
    assert_eq!(outcome(&after), "unknown", "the successor knows nothing of the key");
    assert_eq!(env.executions("once"), 1);
    successor.stop().await;
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let env = request_support::start(1, 1).await;
    assert_eq!(env.send(0, Sent::default().key("before")).await.status(), StatusCode::OK);
    env.fleet.kv.set_fault(Fault { down: true, ..Fault::default() });
    let refused = env.send(0, Sent::default().key("down")).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(outcome(&refused), "unknown", "an earlier attempt may have run");
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(env.send(0, Sent::default()).await.status(), StatusCode::OK);
    let idempotent = Sent { method: Method::PUT, ..Sent::default() };
    assert_eq!(env.send(0, idempotent.key("put")).await.status(), StatusCode::OK);
    assert_eq!(env.executions("down"), 0);
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_answer_lost() {
    let env = request_support::start(2, 1).await;
    env.fleet.kv.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    let mut answer = env.send(0, Sent::default().key("lost-write")).await;
    for _ in 0..20 {
        if outcome(&answer) == "ran" {
            break;
        }
        assert_eq!(outcome(&answer), "unknown");
        time::sleep(Duration::from_millis(200)).await;
        answer = env.send(1, Sent::default().key("lost-write")).await;
    }
    assert_eq!(outcome(&answer), "ran");
    assert_eq!(env.executions("lost-write"), 1);
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_unreachable() {
    let mut env = request_support::start(1, 2).await;
    // A relay that is gone refuses connections.
    env.workers[0].back = lavendergauge_fakes::relay::Relay::start("127.0.0.1:1".to_owned()).await;
    for index in 0..12 {
        let answer = env.send(0, Sent::default().key(&format!("reach-{index}"))).await;
        assert_eq!(outcome(&answer), "ran", "{:?}", answer.body());
    }
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_forged() {
    let env = request_support::start(1, 1).await;
    let sent = Sent::default()
        .header("lavendergauge-ticket", "forged")
        .header("connection", "x-hop")
        .header("x-hop", "1");
    let answer = env.send(0, sent).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let request = hyper::Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/internal/command", env.address(0)))
        .header("lavendergauge-account", "vrbovec")
        .body(lavendergauge_net::body::full("x"))
        .expect("request");
    let answer = env.client.fetch(request, request_support::DEADLINE).await.expect("an answer");
    assert_eq!(answer.body().as_ref(), b"/internal/command x", "it went to the target");
    for (name, value) in [
        ("lavendergauge-deadline-ms", "soon"),
        ("idempotency-key", "a/b"),
        ("lavendergauge-class", "x"),
    ] {
        let refused = env.send(0, Sent::default().header(name, value)).await;
        assert_eq!(refused.status(), StatusCode::BAD_REQUEST);
        assert_eq!(problem(&refused)["field"], name);
    }
    env.stop().await;
}
