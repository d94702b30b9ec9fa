//! HTTP/1.1 requests to the discovery service, with a time limit on every wait.

use crate::broker::Broker;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Time limit for the response header of a request, in microseconds.
const RESPONSE_TIMEOUT: u64 = 3_000_000;
/// Longest silence of a watch before it counts as cut off though its connection is open, in microseconds. Discovery
/// sends at least an empty line every 2 s, and changes of the list count as notified a few seconds after they were
/// made.
const SILENCE_TIMEOUT: u64 = 4_200_000;
/// Longest list or line accepted, in bytes: enough for thousands of instances.
const MAX_LISTING_BYTES: usize = 4 << 20;

/// Why a call to discovery, or the watch that it opened, has ended.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// Nothing was received for the allowed time, though the connection is open.
    #[error("it sent nothing within the time limit")]
    Silent,
    /// There was no response header in time.
    #[error("no response within the time limit")]
    NoResponse,
    /// The response has another status than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// Discovery ended the response of a watch.
    #[error("discovery closed the connection")]
    Closed,
    /// The response exceeds the size limit.
    #[error("a list or line exceeds the size limit")]
    TooLarge,
    /// The response is not a list.
    #[error("not a valid list of instances: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The connection could not be established.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

/// Sends a request and returns the body of its response.
pub async fn request(
    broker: &Rc<Broker>,
    discovery: SocketAddr,
    path: &str,
) -> Result<Incoming, DiscoveryError> {
    let response = async {
        let stream = TcpStream::connect(discovery).await?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // Errors of the connection also fail the response; the task ends with the connection.
        spawn_local(async { connection.await.unwrap_or_default() });
        let request = Request::get(path).header("host", discovery.to_string());
        let request = request.body(Empty::<Bytes>::new())?;
        Ok::<_, DiscoveryError>(sender.send_request(request).await?)
    };
    let response = tokio::select! {
        response = response => response?,
        () = broker.sleep(RESPONSE_TIMEOUT.min(broker.max_poll_interval() / 2)) => {
            return Err(DiscoveryError::NoResponse)
        }
    };
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(DiscoveryError::Status(status)),
    }
}

/// Returns the next part of a body; none at its end. Fails after [`SILENCE_TIMEOUT`] without data.
pub async fn next_chunk(broker: &Rc<Broker>, body: &mut Incoming) -> Result<Option<Bytes>, DiscoveryError> {
    let frame = tokio::select! {
        frame = body.frame() => frame,
        () = broker.sleep(SILENCE_TIMEOUT) => return Err(DiscoveryError::Silent),
    };
    match frame {
        Some(frame) => Ok(Some(frame?.into_data().unwrap_or_default())),
        None => Ok(None),
    }
}

/// Fails if this many bytes of a list or line exceed the size limit.
pub fn check_size(bytes: usize) -> Result<(), DiscoveryError> {
    match bytes > MAX_LISTING_BYTES {
        true => Err(DiscoveryError::TooLarge),
        false => Ok(()),
    }
}
