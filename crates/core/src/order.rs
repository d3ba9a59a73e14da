//! Orders to model engines, one at a time per backend server.
