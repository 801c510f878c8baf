"""Units in which figures travel."""

from typing import Final

MILLISECONDS: Final = 1000.0
"""Milliseconds in a second."""
