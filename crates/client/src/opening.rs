//! Calls for a watch that wait for their answers.

use std::time::Duration;

use reqwest::{RequestBuilder, Response};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

/// How long a call keeps its place beside later calls. An answer that is late is an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(24);
/// The most calls that wait for an answer at a time: the oldest one and the latest ones.
const MAX_CALLS: usize = 4;

/// The index of a call's endpoint, and its response or why there is none.
type EndedCall = (usize, Result<Response, String>);

/// The calls that have no answer yet. Dropping them ends them.
#[derive(Default)]
pub struct OpeningCalls {
    calls: JoinSet<EndedCall>,
    /// The oldest first.
    handles: Vec<AbortHandle>,
}

impl OpeningCalls {
    /// Sends a request to an endpoint. If all places are taken, it takes that of the oldest call but the first.
    pub fn start(&mut self, endpoint: usize, request: RequestBuilder) {
        self.handles.retain(|handle| !handle.is_finished());
        if self.handles.len() == MAX_CALLS {
            self.handles.remove(1).abort();
        }
        self.handles.push(self.calls.spawn(async move { (endpoint, call(request).await) }));
    }

    /// The next call that ends by an answer, an error or its time-out. At least one call has to be open.
    pub async fn next_ended(&mut self) -> EndedCall {
        loop {
            match self.calls.join_next().await {
                Some(Ok(ended)) => return ended,
                // Another call took its place.
                Some(Err(error)) if error.is_cancelled() => {}
                Some(Err(error)) => return (0, Err(error.to_string())),
                None => std::future::pending().await,
            }
        }
    }
}

async fn call(request: RequestBuilder) -> Result<Response, String> {
    let response = timeout(CALL_TIMEOUT, request.send()).await.map_err(|_| "no response in time")?;
    let response = response.map_err(|error| error.to_string())?;
    match response.status() {
        status if status.is_success() => Ok(response),
        status => Err(status.to_string()),
    }
}
