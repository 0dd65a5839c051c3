//! Read timeout of a connection that does not end while bytes wait to be read.

use {
    super::prefetch::Unread,
    hyper::rt::{Sleep, Timer},
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
};

/// Time for the runtime to read bytes that are waiting when the timeout ends.
const READ_GRACE: Duration = Duration::from_millis(10);

/// Timer for the HTTP library's read timeout.
///
/// When a suspended process resumes, its timers end before its sockets are read. A request
/// that arrived in time would be lost with its connection, and the caller could not tell
/// whether it ran.
#[derive(Debug, Clone)]
pub struct ReadTimer {
    unread: Unread,
}

impl ReadTimer {
    /// Creates the timer of the connection with this check for unread bytes.
    #[must_use]
    pub const fn new(unread: Unread) -> Self {
        Self { unread }
    }

    fn timeout_at(&self, deadline: tokio::time::Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(ReadTimeout {
            unread: self.unread.clone(),
            sleep: Box::pin(tokio::time::sleep_until(deadline)),
        })
    }
}

impl Timer for ReadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.timeout_at(tokio::time::Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        self.timeout_at(deadline.into())
    }
}

/// Ends at its deadline, or later once no bytes are waiting.
struct ReadTimeout {
    unread: Unread,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Future for ReadTimeout {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            if !self.unread.has_bytes() {
                return Poll::Ready(());
            }
            let deadline = tokio::time::Instant::now() + READ_GRACE;
            self.sleep.as_mut().reset(deadline);
        }
    }
}

impl Sleep for ReadTimeout {}
