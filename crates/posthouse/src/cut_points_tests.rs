//! (next)
