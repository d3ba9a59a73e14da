//! Claims that make a request with an idempotency key run at most once.
