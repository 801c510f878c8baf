"""Factors for converting units."""

from typing import Final

MILLISECONDS: Final = 1000.0
"""Milliseconds per second."""
