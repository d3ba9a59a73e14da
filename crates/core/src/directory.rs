//! Entry addresses handed to callers.
