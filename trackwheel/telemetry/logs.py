"""Log messages with the name of their component, as text or JSON lines."""

import json
import os
import sys
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import logbook


class Log:
    """Write log messages of one component of the box."""

    def __init__(self, component: str) -> None:
        self._component = component

    @cached_property
    def _logger(self) -> "logbook.Logger":
        # A box on the platform writes events and hardly ever a log message.
        import logbook  # noqa: PLC0415

        return logbook.Logger(self._component)

    def debug(self, message: str) -> None:
        """Log a detail for developers."""
        self._logger.debug(message)

    def info(self, message: str) -> None:
        """Log a change that operators may want to see."""
        self._logger.info(message)

    def warning(self, message: str) -> None:
        """Log a condition that operators should look at."""
        self._logger.warning(message)

    def error(self, message: str) -> None:
        """Log a condition that operators must act on."""
        self._logger.error(message)


class DroppingStream:
    """Write text to a descriptor; drop it when a slow reader leaves no room."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write one line or drop it; never blocks or raises."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self.dropped += 1


def _format_json(record: "logbook.LogRecord", handler: object) -> str:
    fields = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    return json.dumps(fields)


def set_up_logs(log_format: str, level: str) -> None:
    """Send logs to standard error in the configured format."""
    import logbook  # noqa: PLC0415

    prefix = "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} [{record.channel}] "
    handler = logbook.StreamHandler(
        DroppingStream(sys.stderr.fileno()),
        level=level.upper(),
        format_string=prefix + "{record.message}",
    )
    if log_format == "json":
        handler.formatter = _format_json
    handler.push_application()
