"""Reading of an INI file, with all its syntax errors reported together.

``configparser`` stops at the first duplicate. Therefore each duplicate is renamed and
the text is parsed again until no error is left.
"""

from __future__ import annotations

import configparser

import attrs

from burdockgate import errors

# A settings file has a few KB. The limits prevent a wrong path, for example of a device
# or a binary file, from filling the memory or the terminal.
FILE_LIMIT_CHARS = 1 << 20
PROBLEM_LIMIT = 20
VALUE_LIMIT_CHARS = 80
_NAME_LIMIT_CHARS = 1024


@attrs.frozen
class Content:
    """Content of a file.

    :param text_by_key_by_section: the text of each key; the last one of duplicates.
    :param problems: one line for each syntax error or duplicate.
    """

    text_by_key_by_section: dict[str, dict[str, str]]
    problems: list[str]


def read(path: str) -> Content:
    """Return the content of a file.

    :param path: the INI file, in UTF-8.
    :raises errors.SettingsError: when the file cannot be read or is not INI, so that
        no key can be checked.
    """
    lines = _read_text(path).split("\n")
    parser = _create_parser(strict=False)
    problems = _find_syntax_errors(path, lines)
    try:
        parser.read_string("\n".join(lines))
    except configparser.Error:
        raise errors.SettingsError(problems) from None
    return Content({name: dict(parser[name]) for name in parser.sections()}, problems)


def quote_value(text: str) -> str:
    """Return a value for an error line: quoted, on one line and shortened.

    :param text: the value as written in the file.
    """
    if len(text) > VALUE_LIMIT_CHARS:
        return f"{text[:VALUE_LIMIT_CHARS]!r}..."
    return repr(text)


def quote_name(name: str) -> str:
    """Return a path, section or key for an error line, quoted only when needed.

    :param name: the name as the operator wrote it.
    """
    is_plain = name.isprintable() and len(name) <= _NAME_LIMIT_CHARS
    return name if is_plain else quote_value(name)


def _read_text(path: str) -> str:
    try:
        with open(path, encoding="utf-8-sig") as file:
            text = file.read(FILE_LIMIT_CHARS + 1)
    except UnicodeDecodeError as error:
        reason = f"byte {error.start} is not UTF-8"
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
    except ValueError:
        reason = "the path contains a NUL character"
    else:
        if len(text) <= FILE_LIMIT_CHARS:
            return text
        reason = f"longer than {FILE_LIMIT_CHARS} characters"
    raise errors.SettingsError(
        [f"{quote_name(path)}: {reason}; allowed is a readable INI file in UTF-8"]
    )


def _create_parser(strict: bool) -> configparser.RawConfigParser:
    # No section can have an empty name, so none supplies defaults to the others.
    return configparser.RawConfigParser(
        default_section="", strict=strict, delimiters=("=",), interpolation=None
    )


def _find_syntax_errors(path: str, lines: list[str]) -> list[str]:
    """Return one line for each syntax error or duplicate.

    :param lines: lines of the file; malformed ones are blanked in place, duplicates
        are left.
    """
    problems: list[str] = []
    edited = list(lines)
    while len(problems) < PROBLEM_LIMIT:
        try:
            _create_parser(strict=True).read_string("\n".join(edited))
            return problems
        except configparser.DuplicateSectionError as error:
            number = error.lineno or 1
            problems.append(
                f"{path}: [{quote_name(error.section)}] (line {number}): "
                "duplicate section; allowed is each section once"
            )
            edited[number - 1] = f"[{error.section} of line {number}]"
        except configparser.DuplicateOptionError as error:
            number = error.lineno or 1
            text = edited[number - 1].partition("=")[2].strip()
            problems.append(
                f"{path}: [{quote_name(error.section)}] {quote_name(error.option)} "
                f"(line {number}) = {quote_value(text)}: duplicate key; "
                "allowed is each key once"
            )
            edited[number - 1] = f"{error.option} of line {number} ="
        except configparser.MissingSectionHeaderError as error:
            text = quote_value(edited[error.lineno - 1])
            problems.append(
                f"{path}: line {error.lineno} {text}: precedes the first section; "
                "allowed is an INI file that begins with [SECTION]"
            )
            return problems
        except configparser.ParsingError as error:
            for number, _ in error.errors[: PROBLEM_LIMIT - len(problems)]:
                problems.append(
                    f"{path}: line {number} {quote_value(edited[number - 1])}: "
                    "not INI; allowed are [SECTION], KEY = VALUE and # COMMENT"
                )
                edited[number - 1] = lines[number - 1] = ""
    return problems
