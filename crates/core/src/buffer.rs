//! Memory budget for answers that slow readers have not taken yet.
