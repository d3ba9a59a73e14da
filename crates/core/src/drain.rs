//! Graceful shutdown of a process and withdrawal of a backend server.
