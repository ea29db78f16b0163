"""Reading of an INI file with all its errors at once.

``configparser`` stops at the first duplicate. So each duplicate gets a name of its own
and the text is parsed again until no error is left.
"""

from __future__ import annotations

import configparser

import attrs

from burdockgate import errors

# A settings file has a few KB; the limits keep a wrong path, for example that of a
# device or of a binary file, from filling the memory or the terminal.
FILE_LIMIT_CHARS = 1 << 20
PROBLEM_LIMIT = 20
VALUE_LIMIT_CHARS = 80
_LABEL_LIMIT_CHARS = 1024


@attrs.frozen
class Content:
    """What a file holds.

    :param text_by_key_by_section: the text of each key; of duplicates the last.
    :param problems: one line for each error of the file's form.
    """

    text_by_key_by_section: dict[str, dict[str, str]]
    problems: list[str]


def read(path: str) -> Content:
    """Return the content of a file.

    :param path: the INI file, in UTF-8.
    :raises errors.SettingsError: when the file cannot be read or is not INI, so that
        no key can be checked.
    """
    lines = _text(path).split("\n")
    merged = _parser(strict=False)
    problems = _problems(path, lines)
    try:
        merged.read_string("\n".join(lines))
    except configparser.Error:
        raise errors.SettingsError(problems) from None
    return Content({name: dict(merged[name]) for name in merged.sections()}, problems)


def show(text: str) -> str:
    """Return a value for an error line: quoted, on one line and not too long.

    :param text: the value as it stands in the file.
    """
    if len(text) > VALUE_LIMIT_CHARS:
        return f"{text[:VALUE_LIMIT_CHARS]!r}..."
    return repr(text)


def label(name: str) -> str:
    """Return a path, section or key for an error line, quoted only when needed.

    :param name: the name as the operator wrote it.
    """
    plain = name.isprintable() and len(name) <= _LABEL_LIMIT_CHARS
    return name if plain else show(name)


def _text(path: str) -> str:
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
        [f"{label(path)}: {reason}; allowed is a readable INI file in UTF-8"]
    )


def _parser(strict: bool) -> configparser.RawConfigParser:
    # An empty name cannot be written as a section, so no section gives defaults to
    # the others.
    return configparser.RawConfigParser(
        default_section="", strict=strict, delimiters=("=",), interpolation=None
    )


def _problems(path: str, lines: list[str]) -> list[str]:
    """Return the errors of form, and blank the malformed lines but not duplicates."""
    problems: list[str] = []
    rest = list(lines)
    while len(problems) < PROBLEM_LIMIT:
        try:
            _parser(strict=True).read_string("\n".join(rest))
            return problems
        except configparser.DuplicateSectionError as error:
            number = error.lineno or 1
            problems.append(
                f"{path}: [{label(error.section)}] (line {number}): duplicate section; "
                "allowed is each section once"
            )
            rest[number - 1] = f"[{error.section} of line {number}]"
        except configparser.DuplicateOptionError as error:
            number = error.lineno or 1
            text = rest[number - 1].partition("=")[2].strip()
            problems.append(
                f"{path}: [{label(error.section)}] {label(error.option)} (line "
                f"{number}) = {show(text)}: duplicate key; allowed is each key once"
            )
            rest[number - 1] = f"{error.option} of line {number} ="
        except configparser.MissingSectionHeaderError as error:
            text = show(rest[error.lineno - 1])
            problems.append(
                f"{path}: line {error.lineno} {text}: stands before any section; "
                "allowed is an INI file that begins with [SECTION]"
            )
            return problems
        except configparser.ParsingError as error:
            for number, _ in error.errors[: PROBLEM_LIMIT - len(problems)]:
                problems.append(
                    f"{path}: line {number} {show(rest[number - 1])}: not INI; "
                    "allowed are [SECTION], KEY = VALUE and # COMMENT"
                )
                rest[number - 1] = lines[number - 1] = ""
    return problems
