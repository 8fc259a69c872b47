//! Sends a request's body to an agent.

use bytes::Bytes;
use http_body_util::BodyExt;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Cause;
use lavendergauge_net::body::Sender;
use lavendergauge_net::parts;
use lavendergauge_net::parts::MARK_INTERVAL;
use lavendergauge_wire::part::End;
use lavendergauge_wire::part::Headers;
use lavendergauge_wire::part::Open;
use lavendergauge_wire::part::Part;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;
use tokio::time;

use crate::agent_answer::push_data;
use crate::entry_call::Call;
use crate::entry_call::trailer_lines;

/// Releases the rest of a long body, once the agent has admitted the request.
#[derive(Debug, Default)]
pub struct Signal(Option<oneshot::Sender<()>>);

impl Signal {
    /// Sends the signal; does nothing the second time.
    pub fn send(&mut self) {
        if let Some(sender) = self.0.take() {
            let _ = sender.send(());
        }
    }
}

/// Makes the body of the call that sends a request to an agent.
///
/// The rest of a long body is read from the caller only after the signal, so that a refused request
/// can be sent to another agent.
pub fn body(open: &Open, call: &mut Call) -> (Body, Signal) {
    let mut parts = vec![Part::Open(Box::new(open.clone()))];
    push_data(&mut parts, call.first_part.clone());
    if call.is_whole() {
        parts.push(Part::End(End {
            length: call.first_part.len() as u64,
            digest: Bytes::copy_from_slice(&Sha256::digest(&call.first_part)),
            trailers: call.trailers.clone(),
        }));
        return (body::full(parts::encode(&parts).unwrap_or_default()), Signal::default());
    }
    let (signal, admitted) = oneshot::channel();
    let (sender, body) = body::channel();
    let upload = Upload { sender, rest: call.rest.clone(), first_part: call.first_part.clone() };
    tokio::spawn(upload.run(parts, admitted));
    (body, Signal(Some(signal)))
}

struct Upload {
    sender: Sender,
    rest: Option<std::sync::Arc<tokio::sync::Mutex<Body>>>,
    first_part: Bytes,
}

impl Upload {
    /// Sends the first parts, waits until the request is admitted, and sends the rest.
    ///
    /// While it waits, marks keep the connection from falling silent.
    async fn run(mut self, first_parts: Vec<Part>, mut admitted: oneshot::Receiver<()>) {
        if self.send(&first_parts).await.is_err() {
            return;
        }
        loop {
            match time::timeout(MARK_INTERVAL, &mut admitted).await {
                Ok(Ok(())) => break,
                Ok(Err(_)) => return self.sender.abort("the request is not admitted".into()),
                Err(_) if self.send(&[Part::Mark]).await.is_err() => return,
                Err(_) => {}
            }
        }
        let Some(rest) = self.rest.take() else { return };
        let mut rest = rest.lock().await;
        match self.send_rest(&mut rest).await {
            Ok(end) => drop(self.send(&[Part::End(end)]).await),
            Err(cause) => self.sender.abort(cause),
        }
    }

    async fn send(&mut self, parts: &[Part]) -> Result<(), Cause> {
        Ok(self.sender.send_data(parts::encode(parts)?).await?)
    }

    async fn send_rest(&mut self, rest: &mut Body) -> Result<End, Cause> {
        let mut hash = Sha256::new_with_prefix(&self.first_part);
        let mut length = self.first_part.len() as u64;
        let mut trailers = Headers::new();
        loop {
            let Ok(frame) = time::timeout(MARK_INTERVAL, rest.frame()).await else {
                self.send(&[Part::Mark]).await?;
                continue;
            };
            match frame.transpose()?.map(hyper::body::Frame::into_data) {
                Some(Ok(data)) => {
                    hash.update(&data);
                    length += data.len() as u64;
                    let mut parts = Vec::new();
                    push_data(&mut parts, data);
                    self.send(&parts).await?;
                }
                Some(Err(other)) => trailers = trailer_lines(other),
                None => {
                    let digest = Bytes::copy_from_slice(&hash.finalize());
                    return Ok(End { length, digest, trailers });
                }
            }
        }
    }
}
