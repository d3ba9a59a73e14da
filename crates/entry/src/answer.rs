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
    /// The request was given up on.
    Failed(Refusal),
}

struct Room {
    shared: Arc<Shared>,
    stream: Mutex<buffer::Stream>,
    /// Shared, so that a driver that gives up can empty it: the body of a
    /// caller that does not read is not polled.
    items: Mutex<mpsc::UnboundedReceiver<Item>>,
    freed: Notify,
}

impl Room {
    fn with<T>(&self, act: impl FnOnce(&mut buffer::Budget, &mut buffer::Stream) -> T) -> T {
        let mut budget = self.shared.buffers();
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        let result = act(&mut budget, &mut stream);
        let used = i64::try_from(budget.used()).unwrap_or(i64::MAX);
        self.shared.metrics.buffered_bytes.set(used);
        result
    }

    fn items(&self) -> MutexGuard<'_, mpsc::UnboundedReceiver<Item>> {
        self.items.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops payload that the caller has not taken.
    fn empty(&self) {
        let mut items = self.items();
        while items.try_recv().is_ok() {}
        self.with(|budget, stream| budget.close(stream));
    }
}

/// The agent's end of the queue.
pub struct Sink {
    items: mpsc::UnboundedSender<Item>,
    room: Arc<Room>,
}

/// The caller's end of the queue.
pub struct Source {
    room: Arc<Room>,
}

/// What became of payload offered to a [`Sink`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// The caller will get it.
    Kept,
    /// The caller has to read first.
    Full,
    /// The caller is gone.
    Closed,
}

/// Makes an empty queue.
pub fn queue(shared: &Arc<Shared>) -> (Sink, Source) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let room = Arc::new(Room {
        shared: shared.clone(),
        stream: Mutex::default(),
        items: Mutex::new(receiver),
        freed: Notify::new(),
    });
    let sink = Sink {
        items: sender,
        room: room.clone(),
    };
    (sink, Source { room })
}

impl Sink {
    /// Hands on payload of a stream that can be resumed.
    pub fn push(&self, data: Bytes) -> Pushed {
        self.offer(&data, true)
    }

    /// Hands on payload, waiting up to `patience` for room.
    pub async fn push_patiently(&self, data: Bytes, patience: Duration) -> Pushed {
        let kept = async {
            loop {
                let freed = self.room.freed.notified();
                let pushed = self.offer(&data, false);
                if pushed != Pushed::Full {
                    return pushed;
                }
                tokio::select! {
                    () = freed => {}
                    () = self.items.closed() => return Pushed::Closed,
                    // Room in the process budget is not notified to each stream.
                    () = tokio::time::sleep(RECHECK) => {}
                }
            }
        };
        tokio::time::timeout(patience, kept)
            .await
            .unwrap_or(Pushed::Full)
    }

    /// Waits until the caller has taken everything and there is room for more,
    /// or the caller is gone.
    pub async fn drained(&self) {
        loop {
            let freed = self.room.freed.notified();
            let ready = self
                .room
                .with(|budget, stream| stream.is_empty() && budget.has_room());
            if self.items.is_closed() || ready {
                return;
            }
            tokio::select! {
                () = freed => {}
                () = self.items.closed() => {}
                () = tokio::time::sleep(RECHECK) => {}
            }
        }
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.items.closed().await;
    }

    /// Whether the caller is gone.
    pub fn is_closed(&self) -> bool {
        self.items.is_closed()
    }

    /// Ends the answer.
    pub fn end(&self, item: Item) {
        // A caller that is gone needs no end.
        let _ = self.items.send(item);
    }

    /// Ends the answer of a caller that does not read and frees its buffer.
    pub fn abandon(&self, refusal: Refusal) {
        self.room.empty();
        self.end(Item::Failed(refusal));
    }

    fn offer(&self, data: &Bytes, resumable: bool) -> Pushed {
        let bytes = data.len();
        let verdict = self
            .room
            .with(|budget, stream| budget.offer(stream, bytes, resumable));
        if verdict != Verdict::Keep {
            return Pushed::Full;
        }
        if self.items.send(Item::Data(data.clone())).is_ok() {
            return Pushed::Kept;
        }
        self.room
            .with(|budget, stream| budget.release(stream, bytes));
        Pushed::Closed
    }
}

/// Interval at which a waiting stream looks at the process budget.
const RECHECK: Duration = Duration::from_millis(50);

impl Stream for Source {
    type Item = Item;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Item>> {
        let item = ready!(self.room.items().poll_recv(cx));
        if let Some(Item::Data(data)) = &item {
            self.room
                .with(|budget, stream| budget.release(stream, data.len()));
            self.room.freed.notify_one();
        }
        Poll::Ready(item)
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        self.room.items().close();
        self.room.empty();
    }
}
