"""Logs: short sentences with a fixed prefix for each part, as text or JSON lines."""

import json
import os
import sys

import logbook


class Log:
    """Write log sentences for one part of the box."""

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = logbook.Logger(part)

    def debug(self, sentence: str) -> None:
        """Note what only a developer follows."""
        self._logger.debug(sentence)

    def info(self, sentence: str) -> None:
        """Note a change that an operator may want to see."""
        self._logger.info(sentence)

    def warning(self, sentence: str) -> None:
        """Note what an operator should look at."""
        self._logger.warning(sentence)

    def error(self, sentence: str) -> None:
        """Note what an operator must act on."""
        self._logger.error(sentence)


class DroppingStream:
    """Write text to a descriptor, and drop it where a slow reader leaves no room."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write one line, or drop it; never blocks and never fails."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self.dropped += 1


def _format_json(record: logbook.LogRecord, handler: object) -> str:
    fields = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    return json.dumps(fields)


def set_up_logs(log_format: str, level: str) -> None:
    """Send logs to standard error in the wanted form."""
    text = "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} [{record.channel}] "
    handler = logbook.StreamHandler(
        DroppingStream(sys.stderr.fileno()),
        level=level.upper(),
        format_string=text + "{record.message}",
    )
    if log_format == "json":
        handler.formatter = _format_json
    handler.push_application()
