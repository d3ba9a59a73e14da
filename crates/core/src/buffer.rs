//! Memory budget for answer bytes that slow callers have not read yet.

/// What to do with the next bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Buffer them.
    Keep,
    /// Cancel the request at the backend server and resume it once the buffer is
    /// empty.
    Suspend,
    /// Wait for room for a limited time, then abort the answer.
    Wait,
}

/// Bytes buffered by all streams of a process, with their limits.
#[derive(Clone, Debug)]
pub struct Budget {
    stream_limit: usize,
    process_limit: usize,
    used: usize,
}

/// Bytes buffered by one stream.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    used: usize,
}

impl Budget {
    /// Creates an empty budget with limits in bytes.
    pub fn new(stream_limit: usize, process_limit: usize) -> Self {
        Budget {
            stream_limit,
            process_limit,
            used: 0,
        }
    }

    /// Returns the number of buffered bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns whether a stream can fill its buffer without exceeding the process
    /// limit.
    pub fn has_room(&self) -> bool {
        self.used == 0 || self.used + self.stream_limit <= self.process_limit
    }

    /// Decides whether a stream may buffer `bytes` more, and counts them if so.
    ///
    /// A stream with an empty buffer always may: otherwise an event larger than
    /// the limit could never be delivered, and slow callers could stop a caller
    /// that keeps up.
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

    /// Frees `bytes` that the caller has read.
    pub fn release(&mut self, stream: &mut Stream, bytes: usize) {
        let bytes = bytes.min(stream.used);
        stream.used -= bytes;
        self.used -= bytes;
    }

    /// Frees everything that a stream still buffers.
    pub fn close(&mut self, stream: &mut Stream) {
        self.release(stream, stream.used);
    }
}

impl Stream {
    /// Returns whether the caller has read everything.
    pub fn is_empty(&self) -> bool {
        self.used == 0
    }
}
