"""The configured seeds as a list of boxes to contact."""

from returns.result import Result, Success

from trackwheel.storage.errors import PlatformError
from trackwheel.storage.models import BoxList


class SeedList:
    """Provide the configured seeds as the box list; they may be out of date."""

    def __init__(self, seeds: tuple[str, ...]) -> None:
        self._boxes = BoxList(list(seeds), [])

    async def read(self) -> Result[BoxList, PlatformError]:
        """Return the seeds."""
        return Success(self._boxes)
