//! The tour keeps every promise.

use lavendergauge_daemon::tour;

#[tokio::test(flavor = "multi_thread")]
async fn tour_whole() {
    tour::run().await.expect("every promise holds");
}
