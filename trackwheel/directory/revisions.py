"""Revisions that rise even if the store is restored from an older copy and reuses its own.

The store counts its restores: its era. Here a revision is one number that combines the era and the
revision of the store, so that a later write always has the greater one.
"""

from typing import Final

_ERA_SHIFT: Final = 40
"""Bits for the revision of the store: a thousand writes a second use them up in 34 years."""


def make_revision(era: int, store_revision: int) -> int:
    """Return the combined revision for one that the store assigned in an era."""
    return (era << _ERA_SHIFT) | store_revision


def era_of(revision: int) -> int:
    """Return the era in which a revision was assigned."""
    return revision >> _ERA_SHIFT


def store_revision_of(revision: int) -> int:
    """Return the revision as the store itself has it."""
    return revision & ((1 << _ERA_SHIFT) - 1)


def format_revision(revision: int) -> str:
    """Format a revision for the log."""
    return f"{era_of(revision)}.{store_revision_of(revision)}"
