"""Fixtures of the selection tests."""

from tests.relay.conftest import budget, no_budget, selector

__all__ = ["budget", "no_budget", "selector"]
