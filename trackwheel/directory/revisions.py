"""Revisions that rise even where the store comes back from an older copy and gives its own again.

The store counts how often it has come back: its era. Here a revision is one number made of the
era and the store's own revision, so that whatever is written later has the greater one.
"""

from typing import Final

_ERA_SHIFT: Final = 40
"""Bits for the store's own revision: a thousand writes a second fill them in 34 years."""


def make_revision(era: int, own: int) -> int:
    """Return the revision for one that the store gave in an era."""
    return (era << _ERA_SHIFT) | own


def era_of(revision: int) -> int:
    """Return the era in which a revision was given."""
    return revision >> _ERA_SHIFT


def store_revision_of(revision: int) -> int:
    """Return the revision as the store itself has it."""
    return revision & ((1 << _ERA_SHIFT) - 1)


def show_revision(revision: int) -> str:
    """Return a revision as logs have it."""
    return f"{era_of(revision)}.{store_revision_of(revision)}"
