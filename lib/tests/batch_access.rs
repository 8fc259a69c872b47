//! Which calls may access a job, by their queue and key.

use lavendergauge_lib::batch::access;
use lavendergauge_lib::batch::access::Origin;
use lavendergauge_lib::batch::config::Config;
use lavendergauge_lib::batch::config::Queue;

fn queue(name: &str, prefix: &str, public: bool) -> Queue {
    let (name, prefix) = (name.to_owned(), prefix.to_owned());
    Queue { name, host: "jobs.example".to_owned(), prefix, public, ..Queue::default() }
}

/// Tells whether a call may access a job when the configuration has these queues.
fn is_allowed(queues: &[&Queue], call: (&Queue, &str), submission: (&Queue, &str)) -> bool {
    let queues = queues.iter().map(|queue| (*queue).clone()).collect();
    let config = Config { queues, ..Config::default() };
    let origin = |(queue, account)| Origin { queue, account };
    access::is_allowed(&config, origin(call), origin(submission))
}

#[test]
fn account_over_any_queue() {
    let (own, open) = (queue("own", "/own/", false), queue("open", "/open/", true));
    for submitted_to in [&own, &open] {
        for called in [&own, &open] {
            let call = (called, "brno");
            assert!(is_allowed(&[&own, &open], call, (submitted_to, "brno")));
            assert!(is_allowed(&[called], call, (submitted_to, "brno")), "the queue is gone");
        }
    }
}

#[test]
fn foreign_account() {
    let (own, open) = (queue("own", "/own/", false), queue("open", "/open/", true));
    let queues = [&own, &open];
    for account in ["", "praha"] {
        assert!(!is_allowed(&queues, (&own, account), (&own, "brno")));
        assert!(!is_allowed(&queues, (&open, account), (&own, "brno")));
        assert!(!is_allowed(&[&open], (&open, account), (&own, "brno")), "the queue is gone");
        assert!(is_allowed(&queues, (&open, account), (&open, "brno")), "needs no key");
    }
}

#[test]
fn without_account() {
    let (open, other) = (queue("open", "/open/", true), queue("other", "/other/", true));
    let own = queue("own", "/own/", false);
    let queues = [&open, &other, &own];
    assert!(is_allowed(&queues, (&open, ""), (&open, "")));
    assert!(!is_allowed(&queues, (&other, ""), (&open, "")));
    assert!(!is_allowed(&queues, (&own, "brno"), (&open, "")));
    assert!(is_allowed(&[&other, &own], (&other, ""), (&open, "")), "the queue is gone");
    assert!(!is_allowed(&[&other, &own], (&own, "brno"), (&open, "")));
}

#[test]
fn renamed_queue() {
    let open = queue("open", "/open/", true);
    for renamed in [queue("renamed", "/open/", true), queue("open", "/moved/", true)] {
        for account in ["", "brno"] {
            assert!(is_allowed(&[&renamed], (&renamed, ""), (&open, account)));
        }
    }
    let upper_case = Queue { host: "JOBS.example".into(), ..queue("renamed", "/open/", true) };
    assert!(is_allowed(&[&upper_case], (&upper_case, ""), (&open, "")));
}
