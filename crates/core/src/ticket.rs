//! Tokens that let one agent run one request at most once.
