//! Weighted fair queueing by client account.
