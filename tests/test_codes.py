"""Guards the table of result codes against contradictions and a stale page."""

import pathlib

import pytest

from burdockgate import codes

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "result-codes.md"


def test_page_shows_the_table():
    """Callers read the page; print ``codes.markdown_table()`` to renew its table."""
    lines = PAGE.read_text().splitlines(keepends=True)
    table = "".join(line for line in lines if line.startswith("|"))
    assert table == codes.markdown_table()


@pytest.mark.parametrize("code", codes.Code)
def test_number_tells_the_start_class(code):
    """Callers may look at the number alone, so it must not contradict the class."""
    ran, not_run, may = (
        codes.StartClass.RAN,
        codes.StartClass.NOT_RUN,
        codes.StartClass.MAY_HAVE_RUN,
    )
    start_by_hundred = {0: ran, 1: not_run, 2: may, 3: ran, 9: None}
    assert codes.start_class(code) is start_by_hundred[code // 100]
    meaning = codes.MEANING_BY_CODE[code]
    assert (meaning.status < 300) == (code in (codes.Code.COMPLETE, codes.Code.PENDING))
