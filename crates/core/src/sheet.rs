//! The operators' CSV sheet.
