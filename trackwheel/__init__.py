"""A query tier that shares one pool of search capacity fairly among many groups."""

from typing import Final

VERSION: Final = "0.1.0"
