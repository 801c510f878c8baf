"""HTTP client for targets; docs/TARGETS.md describes the protocol."""
