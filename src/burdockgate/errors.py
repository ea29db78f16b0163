"""Exceptions raised by burdockgate.

Each error message is one line that names the setting, field or peer, the value and
what is allowed, so that it can be shown unchanged to a caller or operator.
"""

from __future__ import annotations

from burdockgate import codes


class BurdockgateError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(BurdockgateError):
    """The settings of a process are not valid.

    :param problems: one line for each problem found.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class RequestError(BurdockgateError):
    """A caller's request cannot be accepted.

    :param code: the result code, always of the start class "not run".
    :param detail: one line that names the field, the value and what is allowed.
    """

    def __init__(self, code: codes.Code, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class WireError(BurdockgateError):
    """A frame from another node is malformed; its connection must be closed."""


class MalformedError(BurdockgateError):
    """A body or record from another program is not readable or out of its bounds."""


class LogUnavailableError(BurdockgateError):
    """The platform's log service did not answer, or answered with an error."""


class CallError(BurdockgateError):
    """A call to the platform failed."""


class NotSentError(CallError):
    """No connection could be made, so the request was not sent and had no effect."""


class UnansweredError(CallError):
    """A request was not answered; it may have taken effect, or may do so later."""


class ConnectionLostError(UnansweredError):
    """The connection ended before the answer; the server's process may have ended."""


class HistoryExpiredError(BurdockgateError):
    """The requested records have been deleted from the log."""


class TableError(BurdockgateError):
    """A row or a change of the table is not valid.

    :param problems: one line for each problem, with row, column, value and what
        is allowed.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class ConflictError(BurdockgateError):
    """Another change of the same row was accepted first."""


class ClientError(BurdockgateError):
    """A call of the client failed: no entry host gave a usable answer.

    It is also raised for URLs of entry hosts that are not valid.
    """
