"""The table of proofs stays true: its page, its tests and its mutants' places."""

from pathlib import Path

from tests.proofs import ROWS
from tests.prove import PAGE, ROOT, page_rows


def test_page_is_written_from_the_table() -> None:
    assert page_rows() in PAGE.read_text()


def test_every_mutant_finds_its_place() -> None:
    for row in ROWS:
        if row.mutant is not None:
            text = (ROOT / row.mutant.file).read_text()
            assert text.count(row.mutant.old) >= 1, row.mutant


def test_every_row_names_a_test() -> None:
    for row in ROWS:
        path, name = row.test.split("::")
        assert f"def {name}(" in (ROOT / Path(path)).read_text(), row.test
