//! Roles held for a limited time through the platform.
