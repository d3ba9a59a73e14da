//! Small specifications of berylgw's protocols, explored exhaustively.

pub mod claim;
pub mod lease;
