//! The bounded queue between an agent's answer and its caller.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use berylgw_core::buffer::{self, Verdict};
use berylgw_core::outcome::Refusal;
use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::{Notify, mpsc};

use crate::shared::Shared;

/// Part of an answer after its head.
#[derive(Debug)]
pub enum Item {
    /// Payload.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The request failed after the head was sent.
    Failed(Refusal),
}

struct Buffer {
    shared: Arc<Shared>,
    stream: Mutex<buffer::Stream>,
    /// Shared so that the driver can discard queued payload when a request
    /// fails: the response body of a caller that does not read is not polled.
    items: Mutex<mpsc::UnboundedReceiver<Item>>,
    freed: Notify,
}

impl Buffer {
    fn with<T>(&self, f: impl FnOnce(&mut buffer::Budget, &mut buffer::Stream) -> T) -> T {
        let mut budget = self.shared.buffers();
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut budget, &mut stream);
        let used = i64::try_from(budget.used()).unwrap_or(i64::MAX);
        self.shared.metrics.buffered_bytes.set(used);
        result
    }

    fn items(&self) -> MutexGuard<'_, mpsc::UnboundedReceiver<Item>> {
        self.items.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discards queued payload and returns its bytes to the process budget.
    fn clear(&self) {
        let mut items = self.items();
        while items.try_recv().is_ok() {}
        self.with(|budget, stream| budget.close(stream));
    }
}

/// Sending end of the queue, held by the driver.
pub struct Sink {
    items: mpsc::UnboundedSender<Item>,
    buffer: Arc<Buffer>,
}

/// Receiving end of the queue, read by the response body.
pub struct Source {
    buffer: Arc<Buffer>,
}

/// Result of offering payload to a [`Sink`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// The payload is queued for the caller.
    Kept,
    /// The stream buffer or the process budget is full until the caller reads.
    Full,
    /// The caller has disconnected.
    Closed,
}

/// Creates an empty queue.
pub fn queue(shared: &Arc<Shared>) -> (Sink, Source) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let buffer = Arc::new(Buffer {
        shared: shared.clone(),
        stream: Mutex::default(),
        items: Mutex::new(receiver),
        freed: Notify::new(),
    });
    let sink = Sink {
        items: sender,
        buffer: buffer.clone(),
    };
    (sink, Source { buffer })
}

impl Sink {
    /// Queues payload of a resumable stream without waiting.
    pub fn push(&self, data: Bytes) -> Pushed {
        self.offer(&data, true)
    }

    /// Queues payload, waiting up to `limit` for buffer space.
    pub async fn push_within(&self, data: Bytes, limit: Duration) -> Pushed {
        let kept = async {
            loop {
                let freed = self.buffer.freed.notified();
                let pushed = self.offer(&data, false);
                if pushed != Pushed::Full {
                    return pushed;
                }
                tokio::select! {
                    () = freed => {}
                    () = self.items.closed() => return Pushed::Closed,
                    // Space freed in the process budget by other streams sends no
                    // notification to this one.
                    () = tokio::time::sleep(RECHECK_INTERVAL) => {}
                }
            }
        };
        tokio::time::timeout(limit, kept)
            .await
            .unwrap_or(Pushed::Full)
    }

    /// Waits until the queue is empty and the process budget has space, or until
    /// the caller has disconnected.
    pub async fn drained(&self) {
        loop {
            let freed = self.buffer.freed.notified();
            let ready = self
                .buffer
                .with(|budget, stream| stream.is_empty() && budget.has_room());
            if self.items.is_closed() || ready {
                return;
            }
            tokio::select! {
                () = freed => {}
                () = self.items.closed() => {}
                () = tokio::time::sleep(RECHECK_INTERVAL) => {}
            }
        }
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.items.closed().await;
    }

    /// Returns whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.items.is_closed()
    }

    /// Sends the last item of the answer.
    pub fn end(&self, item: Item) {
        // Fails only if the caller has disconnected.
        let _ = self.items.send(item);
    }

    /// Discards the buffer of a caller that does not read and fails its answer.
    pub fn abandon(&self, refusal: Refusal) {
        self.buffer.clear();
        self.end(Item::Failed(refusal));
    }

    fn offer(&self, data: &Bytes, resumable: bool) -> Pushed {
        let bytes = data.len();
        let verdict = self
            .buffer
            .with(|budget, stream| budget.offer(stream, bytes, resumable));
        if verdict != Verdict::Keep {
            return Pushed::Full;
        }
        if self.items.send(Item::Data(data.clone())).is_ok() {
            return Pushed::Kept;
        }
        self.buffer
            .with(|budget, stream| budget.release(stream, bytes));
        Pushed::Closed
    }
}

/// Interval at which a waiting stream rechecks the process budget.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Stream for Source {
    type Item = Item;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Item>> {
        let item = ready!(self.buffer.items().poll_recv(cx));
        if let Some(Item::Data(data)) = &item {
            self.buffer
                .with(|budget, stream| budget.release(stream, data.len()));
            self.buffer.freed.notify_one();
        }
        Poll::Ready(item)
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        self.buffer.items().close();
        self.buffer.clear();
    }
}
