//! Keeps a watch open: detects that it is broken and opens a new one.
//!
//! A node has to act on changes of the list in time, whether or not the agent answers. A change that a silent watch
//! missed counts as known to the node 6 s after the watch fell silent. A change that discovery sends when it is back
//! counts as known at once, and the sends that it forbids have to stop within the drain time of the settings.
//! Therefore a watch counts as broken if a line is half a second overdue, and the tries to open a new watch start at
//! an interval of half the drain time, within bounds. A new try does not wait for the end of earlier ones: a try that
//! gets no answer costs one interval and not a time-out, and the first try that receives anything becomes the watch.
//!
//! A try that is late may be alive: the oldest ones keep their places while new ones start ([`reopening`]). A silent watch
//! may be alive as well. It is read until a new one has answered, and a list that it still brings counts; but what it
//! missed while it was silent, only a new one tells.

mod reopening;

use std::fmt::Display;
use std::future::Future;
use std::time::Duration;

use tokio::time::error::Elapsed;
use tokio::time::timeout;
use woodgap::list::ServerList;

use super::WatchError;
use reopening::{open_first_to_answer, SilentWatch, TryPacer};

/// A watch that receives nothing for this long is broken. The protocol has discovery send at least an empty line
/// every 2 s; half a second is added for delays.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long what has arrived may take to be read after a hold-up of the process.
const UNREAD_GRACE: Duration = Duration::from_millis(20);
/// The kind of endpoint that serves the watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointKind {
    /// An agent on the node's own machine, which answers at once or not at all.
    Agent,
    /// A service shared by all nodes, which serves calls one after the other.
    SharedService,
}

/// An open watch.
pub trait WatchStream {
    /// The next list, or `None` for a keep-alive line.
    async fn next(&mut self) -> Result<Option<ServerList>, WatchError>;
}

/// Keeps a watch open from a revision on and passes each list to `on_list`. `endpoint` is the address for the log;
/// `drain_time` is the time within which sends to a draining server have to stop.
pub async fn keep_watch_open<F, O>(
    endpoint: &dyn Display,
    mut open: impl FnMut(u64) -> O,
    mut revision: u64,
    drain_time: Duration,
    kind: EndpointKind,
    mut on_list: impl FnMut(ServerList),
) where
    F: WatchStream + 'static,
    O: Future<Output = Result<F, WatchError>> + 'static,
{
    let mut pacer = TryPacer::new(kind, drain_time);
    let mut silent = None;
    loop {
        let (mut watch, first) =
            open_first_to_answer(endpoint, &mut open, revision, &mut pacer, &mut silent, &mut on_list).await;
        // A subscription is answered with a list event even if nothing has changed.
        let first = first.unwrap_or_default();
        revision = first.revision.unwrap_or(revision);
        on_list(match silent.take() {
            Some(silent) => silent.merge_into(first),
            None => first,
        });
        let reason = match follow(&mut watch, &mut revision, &mut on_list).await {
            WatchEnd::Broken(reason) => reason,
            WatchEnd::Silent => {
                // Changes may have been lost on the silent watch: revision 0 asks for the complete list.
                revision = 0;
                silent = Some(SilentWatch::new(watch));
                "silent".to_owned()
            }
        };
        tracing::warn!(
            target: "woodgap::discovery::keep",
            discovery = %endpoint,
            revision,
            %reason,
            "watch ended"
        );
    }
}

/// How a watch ended.
enum WatchEnd {
    /// It closed, or brought something that can't be read.
    Broken(String),
    /// It has brought nothing for [`SILENCE_TIMEOUT`].
    Silent,
}

/// Passes on the lists of a watch until it ends.
async fn follow<F: WatchStream>(
    watch: &mut F,
    revision: &mut u64,
    on_list: &mut impl FnMut(ServerList),
) -> WatchEnd {
    loop {
        match next_before_silence(watch).await {
            Ok(Ok(Some(list))) => {
                *revision = list.revision.unwrap_or(*revision);
                on_list(list);
            }
            Ok(Ok(None)) => {}
            Ok(Err(reason)) => return WatchEnd::Broken(reason.to_string()),
            Err(_) => return WatchEnd::Silent,
        }
    }
}

/// The next item of a watch, or an error if it is silent. If the process was held up, an item may have arrived that is not
/// read yet when the time is over; it counts.
async fn next_before_silence<F: WatchStream>(
    watch: &mut F,
) -> Result<Result<Option<ServerList>, WatchError>, Elapsed> {
    match timeout(SILENCE_TIMEOUT, watch.next()).await {
        Ok(item) => Ok(item),
        Err(_) => timeout(UNREAD_GRACE, watch.next()).await,
    }
}

#[cfg(test)]
mod tests;
