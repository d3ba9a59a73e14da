//! Memory budget for answers that slow readers have not taken yet.

/// What to do with the next bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Buffer them.
    Keep,
    /// Cancel at the backend server and resume once the buffer is empty.
    Suspend,
    /// Wait for room for a limited time, then end the answer.
    Wait,
}

/// Bytes that all streams of a process hold.
#[derive(Clone, Debug)]
pub struct Budget {
    stream_limit: usize,
    process_limit: usize,
    used: usize,
}

/// Bytes that one stream holds.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    used: usize,
}

impl Budget {
    /// Makes an empty budget with limits in bytes.
    pub fn new(stream_limit: usize, process_limit: usize) -> Self {
        Budget {
            stream_limit,
            process_limit,
            used: 0,
        }
    }

    /// Bytes held now.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Whether a stream can fill its buffer without exceeding the process limit.
    pub fn has_room(&self) -> bool {
        self.used == 0 || self.used + self.stream_limit <= self.process_limit
    }

    /// Decides on `bytes` more of a stream and counts them if they are kept.
    ///
    /// A stream that holds nothing keeps them in any case: an event larger than
    /// the limit could otherwise never be delivered, and a caller that keeps up
    /// would be stopped for the sake of slow ones.
    pub fn offer(&mut self, stream: &mut Stream, bytes: usize, resumable: bool) -> Verdict {
        let fits_stream = stream.used + bytes <= self.stream_limit;
        let fits_process = self.used + bytes <= self.process_limit;
        if stream.used == 0 || (fits_stream && fits_process) {
            stream.used += bytes;
            self.used += bytes;
            return Verdict::Keep;
        }
        if resumable {
            Verdict::Suspend
        } else {
            Verdict::Wait
        }
    }

    /// Counts `bytes` as taken by the caller.
    pub fn release(&mut self, stream: &mut Stream, bytes: usize) {
        let bytes = bytes.min(stream.used);
        stream.used -= bytes;
        self.used -= bytes;
    }

    /// Counts everything a stream still holds as gone.
    pub fn close(&mut self, stream: &mut Stream) {
        self.release(stream, stream.used);
    }
}

impl Stream {
    /// Whether the caller has taken everything.
    pub fn is_empty(&self) -> bool {
        self.used == 0
    }
}
