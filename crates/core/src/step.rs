//! Switch of a group from one expert map to the next.
