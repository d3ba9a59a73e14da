//! Reassembly of answer frames and resumption of streams.
