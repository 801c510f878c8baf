"""Golden files: the transcript of a whole session of a decision module, compared line by line."""

import os
import re
from pathlib import Path

FOLDER = Path(__file__).parent / "golden"


def _plain(value: object) -> str:
    """Return a text without addresses in memory."""
    return re.sub(r" object at 0x[0-9a-f]+", "", str(value))


class Transcript:
    """Collect what goes into a decision module and what comes out of it."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def event(self, now: float, event: object) -> None:
        self.lines.append(f"{now * 1000:8.1f} ms  < {_plain(event)}")

    def commands(self, commands: object) -> None:
        assert isinstance(commands, list | tuple)
        self.lines.extend(f"{'':>13}> {_plain(command)}" for command in commands)

    def check(self, name: str) -> None:
        """Compare with the golden file; `UPDATE_GOLDEN=1` writes it anew, to be read in review."""
        path = FOLDER / f"{name}.txt"
        text = "\n".join(self.lines) + "\n"
        if os.environ.get("UPDATE_GOLDEN"):
            FOLDER.mkdir(exist_ok=True)
            path.write_text(text)
        assert path.read_text() == text
