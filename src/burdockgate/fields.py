"""Declaration, parsing and checking of single settings values.

A :class:`ValueType` parses the text of one key. The metadata of a settings field holds
it together with a description of the field.
"""

from __future__ import annotations

import abc
import difflib
import ipaddress
import re
import urllib.parse
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from burdockgate import addresses, ini

KEY = "key"
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}", re.ASCII)
_INTEGER = re.compile(r"[+-]?[0-9]{1,18}")
_NUMBER = re.compile(r"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]+)?")
_VISIBLE = re.compile(r"[!-~]+")


class ValueType(abc.ABC):
    """Type and allowed range of the value of a key."""

    unit = ""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """Return a phrase that says what is allowed, for the end of an error line."""

    @abc.abstractmethod
    def parse(self, text: str) -> Any:
        """Return the value.

        :param text: the text after the equals sign, without outer white space.
        :raises ValueError: with the reason, when the text is not allowed.
        """


@attrs.frozen
class Key:
    """Declaration of one key, without its default.

    :param meaning: one phrase for help texts.
    """

    value_type: ValueType
    meaning: str


def key(value_type: ValueType, meaning: str) -> dict[str, Key]:
    """Return the metadata of a settings field.

    :param meaning: one phrase for help texts.
    """
    return {KEY: Key(value_type, meaning)}


@attrs.frozen
class Name(ValueType):
    """A name of 1 to 64 characters of ``[A-Za-z0-9._-]``."""

    @property
    def allowed(self) -> str:
        """Return a phrase that says what is allowed."""
        return "allowed are 1 to 64 characters of A-Z a-z 0-9 . _ -"

    def parse(self, text: str) -> str:
        """Return the name."""
        if not _NAME.fullmatch(text):
            raise ValueError("not a name")
        return text


@attrs.frozen
class Integer(ValueType):
    """A whole number.

    :param low: lowest value allowed.
    :param high: highest value allowed.
    """

    low: int
    high: int
    unit: str = ""

    @property
    def allowed(self) -> str:
        """Return a phrase that says what is allowed."""
        unit = f" {self.unit}" if self.unit else ""
        return f"allowed are whole numbers from {self.low} to {self.high}{unit}"

    def parse(self, text: str) -> int:
        """Return the number."""
        if not _INTEGER.fullmatch(text):
            raise ValueError("not a whole number")
        if not self.low <= int(text) <= self.high:
            raise ValueError("out of range")
        return int(text)


@attrs.frozen
class Number(ValueType):
    """A decimal number; infinity and NaN are not allowed.

    :param low: lowest value allowed.
    :param high: highest value allowed.
    """

    low: float
    high: float
    unit: str = ""

    @property
    def allowed(self) -> str:
        """Return a phrase that says what is allowed."""
        unit = f" {self.unit}" if self.unit else ""
        return f"allowed are numbers from {self.low:.12g} to {self.high:.12g}{unit}"

    def parse(self, text: str) -> float:
        """Return the number."""
        if not _NUMBER.fullmatch(text):
            raise ValueError("not a number")
        if not self.low <= float(text) <= self.high:
            raise ValueError("out of range")
        return float(text)


@attrs.frozen
class Address(ValueType):
    """An address ``host:port`` with an IP address as host.

    :param lowest_port: 0 when the system may choose the port, else 1.
    :param any_host: whether the unspecified address (``0.0.0.0``) is allowed.
    """

    lowest_port: int = 1
    any_host: bool = False

    @property
    def allowed(self) -> str:
        """Return a phrase that says what is allowed."""
        host = "" if self.any_host else " other than the unspecified one"
        return (
            f"allowed is an IP address{host}, a colon and a port from "
            f"{self.lowest_port} to 65535; IPv6 in brackets"
        )

    def parse(self, text: str) -> str:
        """Return the address as given."""
        host, port = addresses.split(text)
        _check_host(host, self.any_host)
        if not self.lowest_port <= port:
            raise ValueError("port out of range")
        return text


@attrs.frozen
class Addresses(ValueType):
    """A comma-separated list of addresses, which may be empty."""

    @property
    def allowed(self) -> str:
        """Return a phrase that says what is allowed."""
        return (
            "allowed are host:port separated by commas, each with an IP address "
            "other than the unspecified one and a port from 1 to 65535"
        )

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the addresses in the order given, without duplicates."""
        parts = [part.strip() for part in text.split(",")] if text else []
        for part in parts:
            try:
                Address().parse(part)
            except ValueError as error:
                raise ValueError(f"{part[:80]!r}: {error}") from None
        return tuple(dict.fromkeys(parts))


@attrs.frozen
class Host(ValueType):
    """An IP address or an empty text."""

    @property
    def allowed(self) -> str:
        """Return a phrase that says what is allowed."""
        return "allowed is an IP address, or empty"

    def parse(self, text: str) -> str:
        """Return the host as given."""
        if text:
            _check_host(text, any_host=False)
        return text


@attrs.frozen
class Url(ValueType):
    """An http URL without a path, whose host is an IP address.

    :param optional: whether an empty text is allowed.
    """

    optional: bool = False

    @property
    def allowed(self) -> str:
        """Return a phrase that says what is allowed."""
        alternative = ", or empty" if self.optional else ""
        return f"allowed is http://IP-ADDRESS:PORT{alternative}"

    def parse(self, text: str) -> str:
        """Return the URL without a trailing slash."""
        if not text and self.optional:
            return text
        if not _VISIBLE.fullmatch(text):
            raise ValueError("not a URL")
        parts = urllib.parse.urlsplit(text)
        if parts.scheme != "http":
            raise ValueError("not an http URL")
        if "@" in parts.netloc or "?" in text or "#" in text:
            raise ValueError("a user, a query or a fragment is not allowed")
        if parts.path not in ("", "/"):
            raise ValueError("a path is not allowed")
        _check_host(parts.hostname or "", any_host=False)
        if parts.port == 0 or parts.netloc.endswith(":"):
            raise ValueError("port out of range")
        return text.rstrip("/")


def find_undeclared(
    path: str,
    content: ini.Content,
    declared: Mapping[str, Iterable[attrs.Attribute[Any]]],
) -> Iterator[str]:
    """Yield one error line for each section or key that is not declared.

    :param path: the file, for the error lines.
    :param declared: the fields by section.
    """
    for section, texts in content.text_by_key_by_section.items():
        if section not in declared:
            allowed = _allowed_names(section, declared)
            yield f"{path}: [{ini.quote_name(section)}]: unknown section; {allowed}"
            continue
        names = [field.name for field in declared[section]]
        for name in (name for name in texts if name not in names):
            yield (
                f"{path}: [{section}] {ini.quote_name(name)} = "
                f"{ini.quote_value(texts[name])}: unknown key; "
                f"{_allowed_names(name, names)}"
            )


def _allowed_names(name: str, names: Iterable[str]) -> str:
    close = difflib.get_close_matches(name, names, n=1)
    hint = f"did you mean {close[0]}? " if close else ""
    return f"{hint}allowed are {', '.join(names)}"


def parse_section(
    path: str,
    section: str,
    declared: Iterable[attrs.Attribute[Any]],
    texts: Mapping[str, str],
    problems: list[str],
) -> dict[str, Any]:
    """Return the valid values of a section by key, including defaults.

    :param path: the file, for the error lines.
    :param texts: the text of each key in the file.
    :param problems: list to which one error line is appended for each key that is
        missing or not valid.
    """
    value_by_key: dict[str, Any] = {}
    for field in declared:
        value_type = field.metadata[KEY].value_type
        place = f"{path}: [{section}] {field.name}"
        text = texts.get(field.name)
        if text is not None:
            try:
                value_by_key[field.name] = value_type.parse(text)
            except ValueError as error:
                problems.append(
                    f"{place} = {ini.quote_value(text)}: {error}; {value_type.allowed}"
                )
        elif field.default is attrs.NOTHING:
            problems.append(f"{place}: missing; {value_type.allowed}")
        else:
            value_by_key[field.name] = field.default
    return value_by_key


def _check_host(host: str, any_host: bool) -> None:
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("the host is not an IP address") from None
    if address.is_multicast or (address.is_unspecified and not any_host):
        raise ValueError("unusable address")
