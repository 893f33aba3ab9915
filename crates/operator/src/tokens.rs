//! Tokens.
