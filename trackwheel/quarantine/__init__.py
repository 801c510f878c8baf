"""Detection of requests that crash the targets running them, shared by all boxes."""
