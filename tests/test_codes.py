"""Tests of the result codes: their table is consistent and the page shows it."""

import pathlib

import pytest

from burdockgate import codes

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "result-codes.md"


def test_page_shows_the_table():
    """Callers read the page; print ``codes.markdown_table()`` to update its table."""
    lines = PAGE.read_text().splitlines(keepends=True)
    table = "".join(line for line in lines if line.startswith("|"))
    assert table == codes.markdown_table()


@pytest.mark.parametrize("code", codes.Code)
def test_number_gives_the_start_class(code):
    """Callers may use the number alone, so it must agree with the start class."""
    ran, not_run, may = (
        codes.StartClass.RAN,
        codes.StartClass.NOT_RUN,
        codes.StartClass.MAY_HAVE_RUN,
    )
    start_by_hundred = {0: ran, 1: not_run, 2: may, 3: ran, 9: None}
    assert codes.start_class(code) is start_by_hundred[code // 100]
    meaning = codes.MEANING_BY_CODE[code]
    assert (meaning.status < 300) == (code in (codes.Code.COMPLETE, codes.Code.PENDING))
