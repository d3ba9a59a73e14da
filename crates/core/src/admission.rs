//! Limits and cold-start ramp of one backend server, decided by its agent.
