"""The seeds of the settings, as the list of boxes to greet."""

from returns.result import Result, Success

from trackwheel.storage.errors import PlatformError
from trackwheel.storage.models import BoxList


class SeedList:
    """Give the seeds as the box list; they may be stale."""

    def __init__(self, seeds: tuple[str, ...]) -> None:
        self._boxes = BoxList(list(seeds), [])

    async def read(self) -> Result[BoxList, PlatformError]:
        """Return the seeds."""
        return Success(self._boxes)
