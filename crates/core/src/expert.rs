//! Placement of expert replicas on the ranks of a group.
