//! Closes a connection in the middle of an answer, whose client may not read it.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::sync::watch;

/// Extension of a response: its connection is closed, even in the middle of the body, when the value
/// becomes true. The value has a receiver while that is possible.
#[derive(Clone, Debug)]
pub struct Abort(pub Arc<watch::Sender<bool>>);

impl Abort {
    async fn wait(self) {
        let mut receiver = self.0.subscribe();
        // `self` keeps the sender.
        let _ = receiver.wait_for(|is_aborted| *is_aborted).await;
    }
}

/// The signal of the latest response on a connection that has one.
#[derive(Clone, Debug, Default)]
pub(super) struct LatestAbort(Arc<Mutex<Option<Abort>>>);

impl LatestAbort {
    pub(super) fn replace(&self, abort: Option<Abort>) {
        if abort.is_some() {
            *self.0.lock().expect("no holder of the lock panics") = abort;
        }
    }
}

/// Waits until the latest response is aborted. A new signal wakes nobody, so this is polled after
/// the connection.
pub(super) struct Aborted {
    latest: LatestAbort,
    waiting: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl Aborted {
    pub(super) fn new(latest: LatestAbort) -> Self {
        Self {
            latest,
            waiting: None,
        }
    }
}

impl Future for Aborted {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let latest = self.latest.0.lock();
        let replaced = latest.expect("no holder of the lock panics").take();
        if let Some(abort) = replaced {
            self.waiting = Some(Box::pin(abort.wait()));
        }
        let waiting = self.waiting.as_mut();
        waiting.map_or(Poll::Pending, |waiting| waiting.as_mut().poll(context))
    }
}
