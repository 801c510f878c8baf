"""The events in the code are exactly those listed in docs/OPERATIONS.md."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
WRITTEN = re.compile(r'log\.write\(\s*"([a-z_]+)"')
CHOSEN = re.compile(r'event = "([a-z_]+)" if missing else "([a-z_]+)"')


def test_every_event_is_on_the_page_and_none_besides() -> None:
    code = "".join(path.read_text() for path in (ROOT / "trackwheel").rglob("*.py"))
    events = set(WRITTEN.findall(code))
    events |= {name for pair in CHOSEN.findall(code) for name in pair}
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = page.partition("| event | when |")[2].partition("\n\n")[0]
    listed = set(
        re.findall(r"`([a-z_]+)`", "".join(r.split("|")[1] for r in table.splitlines()[2:]))
    )
    assert events == listed
