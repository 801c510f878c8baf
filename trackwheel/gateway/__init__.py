"""The API for callers: admission, scatter-gather queries and at-most-once requests."""
