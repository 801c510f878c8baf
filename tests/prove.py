"""Run the table of proofs.

Usage:
  prove [PROMISE] [--mutants]
  prove --page

Options:
  --mutants  Take each row's mechanism out of a copy of the code; the row must fail.
  --page     Write the table of docs/PROOFS.md anew.

PROMISE is one of truth, load, files, fleet.
"""

import ast
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path

from docopt import docopt

from tests.proofs import PARTS, ROWS, Row

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"
BEGIN, END = "<!-- rows begin -->", "<!-- rows end -->"
COPIED = ("trackwheel", "standins", "bench", "tests", "pyproject.toml")
TIMEOUT_S = 300


def node_id(test: str, folder: Path) -> str:
    """Return what pytest calls a test: one of a class is not found by its own name alone."""
    path, name = test.split("::")
    for node in ast.parse((folder / path).read_text()).body:
        if not isinstance(node, ast.ClassDef):
            continue
        if any(isinstance(item, ast.FunctionDef) and item.name == name for item in node.body):
            return f"{path}::{node.name}::{name}"
    return test


def run_test(test: str, folder: Path) -> bool:
    """Return whether a test passes in a copy of the project."""
    node = node_id(test, folder)
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", node]
    try:
        result = subprocess.run(
            command, cwd=folder, capture_output=True, timeout=TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return False
    return result.returncode == 0


def run_mutant(row: Row) -> bool:
    """Return whether a row fails, as it should, without its mechanism."""
    assert row.mutant is not None, "the row has a mutant"
    with tempfile.TemporaryDirectory(prefix="trackwheel-mutant-") as name:
        folder = Path(name)
        for item in COPIED:
            source = ROOT / item
            if source.is_dir():
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, folder / item, ignore=ignored)
            else:
                shutil.copy(source, folder / item)
        path = folder / row.mutant.file
        text = path.read_text()
        if row.mutant.old not in text:
            raise LookupError(f"{row.mutant.file} no longer has: {row.mutant.old}")
        path.write_text(text.replace(row.mutant.old, row.mutant.new, 1))
        return not run_test(row.test, folder)


def prove(rows: Iterable[Row], mutants: bool) -> int:
    """Run rows and print one line for each; return 1 if one does not hold."""
    failed = 0
    for row in rows:
        if mutants and row.mutant is None:
            continue
        good = run_mutant(row) if mutants else run_test(row.test, ROOT)
        failed += not good
        word = ("fails first" if mutants else "holds") if good else "DOES NOT"
        print(f"{word:<12} {row.part:<6} {row.promise}: {row.failure}", flush=True)
    print(f"{failed} rows do not hold.")
    return 1 if failed else 0


def page_rows() -> str:
    """Return the table of the page."""
    lines = ["| part | promise | failure | test | seen to fail first |", "|---|---|---|---|---|"]
    for row in ROWS:
        test = row.test.split("::")[1]
        first = "without its mechanism" if row.mutant else "no mutant"
        lines.append(f"| {row.part} | {row.promise} | {row.failure} | `{test}` | {first} |")
    return "\n".join(lines)


def write_page() -> int:
    """Put the table between the marks of docs/PROOFS.md."""
    text = PAGE.read_text()
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    PAGE.write_text(f"{before}{BEGIN}\n{page_rows()}\n{END}{after}")
    return 0


def main() -> int:
    """Run the command line."""
    arguments = docopt(__doc__ or "")
    if arguments["--page"]:
        return write_page()
    part = arguments["PROMISE"]
    if part is not None and part not in PARTS:
        print(f"PROMISE is one of {', '.join(PARTS)}.", file=sys.stderr)
        return 2
    rows = [row for row in ROWS if part in (None, row.part)]
    return prove(rows, arguments["--mutants"])


if __name__ == "__main__":
    raise SystemExit(main())
