"""Asynchronous client of the HTTP interface."""

from __future__ import annotations

import asyncio
import contextlib
import random
import urllib.parse
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import Any, Literal, Self

import attrs
import httpx
import msgspec

from burdockgate import clock, codes, errors
from burdockgate.request import job

DEFAULT_TIMEOUT_S = 120.0
CONNECT_TIMEOUT_S = 2.0
MAX_TRIES = 8
# No retry starts later than this after the call began.
RETRY_TIME_S = 30.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 5.0
# Each call earns a part of a retry, so that retries add at most a tenth to the load
# of hosts that are overloaded already.
RETRY_BUDGET_MAX = 10.0
RETRY_BUDGET_PER_CALL = 0.1

# Here somebody chose the end of the job, and a retry would go against the choice.
_CHOSEN_END = {
    codes.Code.CANCELLED_NOT_RUN,
    codes.Code.CANCELLED_MAY_HAVE_RUN,
    codes.Code.DEADLINE_NOT_RUN,
    codes.Code.DEADLINE_MAY_HAVE_RUN,
}
_UNSENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@attrs.frozen
class Answer:
    """What an entry host said about a job.

    :param start: "not run", "may have run" or "ran"; ``None`` while pending.
    :param outcome: "complete", "failed", "refused" or "pending".
    :param attempt: number of the run of the key; 0 when there was none.
    :param results: the decoded result of each task; empty unless complete.
    :param url: the entry host that answered.
    """

    code: codes.Code
    name: str
    start: str | None
    outcome: str
    attempt: int
    detail: str
    results: tuple[Any, ...]
    key: str
    url: str


class Client:
    """Talks to the entry hosts and moves on to the next one when one fails.

    Example::

        async with client.Client(["http://10.0.0.1:8080"]) as entry:
            body = {"guest": "g", "service": "s", "tasks": [{"payload": 1}]}
            answer = await entry.submit(body)
            if answer.outcome == "complete":
                print(answer.results)

    Submitting again is safe because the key stays the same: a submission joins the
    job in progress or gets the kept answer, and only a failed job that is
    repeatable runs again.

    :param urls: base URLs of the entry hosts.
    :param timeout_s: longest time of one call with all its tries, in seconds.
    :param rng: source of keys and of back-off; the system's when not given.
    :raises errors.ClientError: when ``urls`` is empty or has an entry that is not
        an HTTP URL.
    """

    def __init__(
        self,
        urls: Sequence[str],
        timeout_s: float = DEFAULT_TIMEOUT_S,
        rng: random.Random | None = None,
    ) -> None:
        self._urls = [_checked_url(url) for url in urls]
        if not self._urls:
            raise errors.ClientError("urls: [], allowed is at least one URL")
        self._timeout_s = timeout_s
        self._rng = rng or random.SystemRandom()
        self._clock = clock.SystemClock()
        self._budget = RETRY_BUDGET_MAX
        # Clients begin at different hosts and stay with one that answers.
        self._current = self._rng.randrange(len(self._urls))
        self._http = httpx.AsyncClient(
            trust_env=False,
            timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=None),
        )

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close all connections."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def submit(
        self,
        body: Mapping[str, Any] | bytes,
        key: str | None = None,
        wait: bool = True,
    ) -> Answer:
        """Submit a job and return the answer.

        Answers whose code says that a retry can help are retried within the
        limits of this module; after that the last answer is returned.

        :param body: the job, as fields or as JSON text.
        :param key: the idempotency key; drawn at random when not given.
        :param wait: whether to wait for the end of the job.
        :raises errors.ClientError: when no entry host gave a usable answer, or when
            it cannot be told whether an unanswered request still takes effect.
        :raises errors.RequestError: when the key is not valid.
        """
        key = job.check_key(key or f"{self._rng.getrandbits(128):032x}")
        call = _Call(
            "POST",
            "/v1/jobs" if wait else "/v1/jobs?wait=false",
            key,
            body if isinstance(body, bytes) else msgspec.json.encode(body),
            {"Idempotency-Key": key, "Content-Type": "application/json"},
        )
        answer = await self._answer(call, _ends_submission)
        if call.unanswered and answer.start == "not run" and _is_retryable(answer):
            # The refusal does not cover a request still on its way to another host.
            raise call.error(f"{answer.url}: refused with {answer.name}")
        return answer

    async def fetch(self, guest: str, key: str, wait_s: float = 0.0) -> Answer:
        """Return the kept answer or the state of a job.

        :param wait_s: how long to wait for a pending job, in seconds.
        :raises errors.ClientError: when no entry host gave a usable answer.
        """
        path = f"{_job_path(guest, key)}?wait_s={wait_s!r}"
        return await self._answer(_Call("GET", path, key), _ends_question)

    async def cancel(self, guest: str, key: str) -> Answer:
        """Cancel a job and return its definite outcome.

        :raises errors.ClientError: when no entry host gave a usable answer.
        """
        call = _Call("DELETE", _job_path(guest, key), key)
        return await self._answer(call, _ends_question)

    async def status(self) -> dict[str, Any]:
        """Return the state of the first entry host that answers.

        :raises errors.ClientError: when no entry host gave a usable answer.
        """
        call = _Call("GET", "/v1/status")
        async with call.limited(self._timeout_s):
            for url in self._urls:
                reply = await self._send(call, url)
                value = None if reply is None else _object(reply)
                if reply is not None and reply.status_code == 200 and value is not None:
                    return value
                call.note(url, reply)
        raise call.error()

    async def drain(self, worker: str, active: bool = True) -> bool:
        """Drain a worker, or resume it, and return whether a host knows the worker.

        An entry host knows only the workers that are connected to it, so the hosts
        are asked in turn until one knows the worker.

        :raises errors.ClientError: when no entry host knows the worker and at least
            one gave no usable answer.
        """
        path = f"/v1/workers/{_quote(worker)}/drain?active={str(active).lower()}"
        call = _Call("POST", path)
        unknown = 0
        async with call.limited(self._timeout_s):
            for url in self._urls:
                reply = await self._send(call, url)
                value = (None if reply is None else _object(reply)) or {}
                if value.get("worker") == worker:
                    return True
                if value.get("code") == codes.Code.NOT_FOUND:
                    call.unanswered.pop()
                    unknown += 1
                else:
                    call.note(url, reply)
        if unknown < len(self._urls):
            raise call.error()
        return False

    async def _answer(self, call: _Call, is_end: Callable[[Answer], bool]) -> Answer:
        """Return the first answer that ends the call, or the last one."""
        self._budget = min(RETRY_BUDGET_MAX, self._budget + RETRY_BUDGET_PER_CALL)
        last_start_s = self._clock.now() + min(RETRY_TIME_S, self._timeout_s)
        async with call.limited(self._timeout_s):
            while True:
                url = self._urls[self._current]
                reply = await self._send(call, url)
                answer = None if reply is None else _parse(call, reply, url)
                if answer is not None:
                    call.unanswered.pop()
                    if is_end(answer):
                        return answer
                call.note(url, reply)
                delay_s = self._delay_s(call.tries, reply)
                if not self._may_retry(call, last_start_s - delay_s):
                    break
                self._current = (self._current + 1) % len(self._urls)
                await asyncio.sleep(delay_s)
        if answer is None:
            raise call.error()
        return answer

    async def _send(self, call: _Call, url: str) -> httpx.Response | None:
        """Return the reply to one try; ``None`` when there is none."""
        call.tries += 1
        call.is_sent = True
        call.unanswered.append(url)
        try:
            reply = await self._http.request(
                call.method, url + call.path, content=call.content, headers=call.headers
            )
        except _UNSENT as error:
            call.unanswered.pop()
            call.is_sent = False
            call.reason = f"{url}: {type(error).__name__}"
        except httpx.HTTPError as error:
            call.reason = f"{url}: {type(error).__name__}"
        else:
            return reply
        return None

    def _delay_s(self, tries: int, reply: httpx.Response | None) -> float:
        # Full jitter spreads the retries of callers that failed together.
        ceiling_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**tries)
        delay_s = self._rng.uniform(0, ceiling_s)
        after = "" if reply is None else reply.headers.get("retry-after", "")
        if after.isascii() and after.isdigit() and len(after) < 10:
            delay_s += int(after)
        return delay_s

    def _may_retry(self, call: _Call, last_start_s: float) -> bool:
        if call.tries >= MAX_TRIES or self._clock.now() > last_start_s:
            return False
        # A host that could not be reached got no load from the try.
        if call.is_sent:
            if self._budget < 1:
                return False
            self._budget -= 1
        return True


@attrs.define
class _Call:
    """One call with its tries.

    :param unanswered: URL of each try that was sent and got no usable answer.
    :param reason: why the last try failed.
    """

    method: str
    path: str
    key: str = ""
    content: bytes = b""
    headers: dict[str, str] = attrs.Factory(dict)
    tries: int = 0
    is_sent: bool = False
    unanswered: list[str] = attrs.Factory(list)
    reason: str = ""

    def note(self, url: str, reply: httpx.Response | None) -> None:
        if reply is not None:
            self.reason = f"{url}: status {reply.status_code} without a usable answer"

    @contextlib.asynccontextmanager
    async def limited(self, timeout_s: float) -> AsyncIterator[None]:
        try:
            async with asyncio.timeout(timeout_s):
                yield
        except TimeoutError:
            self.reason = f"no answer within {timeout_s:g} s"
            raise self.error() from None

    def error(self, reason: str = "") -> errors.ClientError:
        subject = f"key {self.key}" if self.key else f"{self.method} {self.path}"
        text = f"{subject}: gave up after {self.tries} tries: {reason or self.reason}"
        if not self.unanswered:
            return errors.ClientError(f"{text}; no request is left unanswered")
        known = f"; sent to {self.unanswered[-1]} and not answered"
        if self.method == "POST" and self.key:
            known += ", so the job may have run; the same key gives its outcome"
        return errors.ClientError(text + known)


def _checked_url(url: str) -> str:
    try:
        parts = urllib.parse.urlsplit(url)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        valid = valid and parts.port != 0 and not parts.query and not parts.fragment
    except ValueError:
        valid = False
    if not valid:
        raise errors.ClientError(
            f"urls: {job.shorten(url)}, allowed are http://host:port and https://"
        )
    return url.rstrip("/")


def _job_path(guest: str, key: str) -> str:
    return f"/v1/jobs/{_quote(guest)}/{_quote(key)}"


def _quote(name: str) -> str:
    # httpx removes the path segments "." and "..".
    if name in (".", ".."):
        return "%2E" * len(name)
    return urllib.parse.quote(name, safe="")


def _object(reply: httpx.Response) -> dict[str, Any] | None:
    try:
        value = msgspec.json.decode(reply.content)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


class _Shape(msgspec.Struct):
    code: int
    start: str | None
    outcome: Literal["complete", "failed", "refused", "pending"]
    attempt: int
    detail: str
    key: str
    results: list[Any] = msgspec.field(default_factory=list)


_SHAPE = msgspec.json.Decoder(_Shape)


def _parse(call: _Call, reply: httpx.Response, url: str) -> Answer | None:
    """Return the answer of a reply; ``None`` when it makes no sense."""
    try:
        shape = _SHAPE.decode(reply.content)
        code = codes.Code(shape.code)
    except (ValueError, RecursionError):
        return None
    start = codes.start_class(code)
    if shape.start != (start.value if start else None):
        return None
    if (shape.outcome == "complete") != (code is codes.Code.COMPLETE):
        return None
    # Only the answer to a request that was not understood lacks the key. For a path
    # that has no route, "not found" says nothing about the job.
    needs_key = code in (codes.Code.COMPLETE, codes.Code.NOT_FOUND)
    if shape.key != call.key and (shape.key or needs_key):
        return None
    return Answer(
        code,
        code.name,
        shape.start,
        shape.outcome,
        shape.attempt,
        shape.detail,
        tuple(shape.results),
        call.key,
        url,
    )


def _is_retryable(answer: Answer) -> bool:
    retryable = codes.MEANING_BY_CODE[answer.code].retryable
    return retryable and answer.code not in _CHOSEN_END


def _ends_submission(answer: Answer) -> bool:
    return answer.outcome == "pending" or not _is_retryable(answer)


def _ends_question(answer: Answer) -> bool:
    return answer.outcome != "refused" or not _is_retryable(answer)
