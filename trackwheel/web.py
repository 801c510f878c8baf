"""What the callers' and the operators' applications share."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from starlette.applications import Starlette


@asynccontextmanager
async def no_lifespan(app: Starlette) -> AsyncIterator[None]:
    """Do nothing at start and stop; the box itself owns its parts."""
    yield
