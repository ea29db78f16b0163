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
# Each call adds a tenth of a retry to the budget, so that retries add at most a tenth
# to the load of hosts that are already overloaded.
RETRY_BUDGET_MAX = 10.0
RETRY_BUDGET_PER_CALL = 0.1

# The job was cancelled or reached its deadline, and a retry would run it in spite of
# that.
_CANCELLED_OR_EXPIRED = {
    codes.Code.CANCELLED_NOT_RUN,
    codes.Code.CANCELLED_MAY_HAVE_RUN,
    codes.Code.DEADLINE_NOT_RUN,
    codes.Code.DEADLINE_MAY_HAVE_RUN,
}
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@attrs.frozen
class Answer:
    """Answer of an entry host about a job.

    :param start: "not run", "may have run" or "ran"; ``None`` while pending.
    :param outcome: "complete", "failed", "refused" or "pending".
    :param attempt: number of the attempt under the key; 0 when there was none.
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
    """Calls the entry hosts and switches to the next one when one fails.

    Example::

        async with client.Client(["http://10.0.0.1:8080"]) as entry:
            body = {"guest": "g", "service": "s", "tasks": [{"payload": 1}]}
            answer = await entry.submit(body)
            if answer.outcome == "complete":
                print(answer.results)

    Submitting again is safe because the key stays the same: a repeated submission
    joins the job in progress or gets the stored answer, and only a failed job that is
    repeatable runs again.

    :param urls: base URLs of the entry hosts.
    :param timeout_s: time limit of one call, including its retries, in seconds.
    :param rng: random source for keys and retry delays; by default that of the system.
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
        # Clients start at different hosts and stay with one until a retry.
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

        A job whose answer has a retryable code is submitted again within the limits of
        this module; when they are reached, the last answer is returned.

        :param body: the job, as fields or as JSON text.
        :param key: the idempotency key; a random one when not given.
        :param wait: whether to wait for the end of the job.
        :raises errors.ClientError: when no entry host gave a usable answer, or when an
            unanswered request may still take effect.
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
        answer = await self._request_answer(call, _is_final_for_submission)
        if call.unanswered_urls and answer.start == "not run" and _is_retryable(answer):
            # An unanswered request to another host may still arrive there.
            raise call.error(f"{answer.url}: refused with {answer.name}")
        return answer

    async def fetch(self, guest: str, key: str, wait_s: float = 0.0) -> Answer:
        """Return the stored answer or the state of a job.

        :param wait_s: how long to wait for a pending job, in seconds.
        :raises errors.ClientError: when no entry host gave a usable answer.
        """
        path = f"{_job_path(guest, key)}?wait_s={wait_s!r}"
        return await self._request_answer(_Call("GET", path, key), _is_final_for_query)

    async def cancel(self, guest: str, key: str) -> Answer:
        """Cancel a job and return its definite outcome.

        :raises errors.ClientError: when no entry host gave a usable answer.
        """
        call = _Call("DELETE", _job_path(guest, key), key)
        return await self._request_answer(call, _is_final_for_query)

    async def status(self) -> dict[str, Any]:
        """Return the state of the first entry host that answers.

        :raises errors.ClientError: when no entry host gave a usable answer.
        """
        call = _Call("GET", "/v1/status")
        async with call.time_limit(self._timeout_s):
            for url in self._urls:
                reply = await self._send(call, url)
                value = None if reply is None else _json_object(reply)
                if reply is not None and reply.status_code == 200 and value is not None:
                    return value
                call.record_reply(url, reply)
        raise call.error()

    async def drain(self, worker: str, active: bool = True) -> bool:
        """Drain a worker, or resume it, and return whether a host knows the worker.

        An entry host knows only the workers that are connected to it, so the hosts
        are called in turn until one knows the worker.

        :raises errors.ClientError: when no entry host knows the worker and at least
            one gave no usable answer.
        """
        path = f"/v1/workers/{_quote(worker)}/drain?active={str(active).lower()}"
        call = _Call("POST", path)
        unknown_count = 0
        async with call.time_limit(self._timeout_s):
            for url in self._urls:
                reply = await self._send(call, url)
                value = (None if reply is None else _json_object(reply)) or {}
                if value.get("worker") == worker:
                    return True
                if value.get("code") == codes.Code.NOT_FOUND:
                    call.unanswered_urls.pop()
                    unknown_count += 1
                else:
                    call.record_reply(url, reply)
        if unknown_count < len(self._urls):
            raise call.error()
        return False

    async def _request_answer(
        self, call: _Call, is_final: Callable[[Answer], bool]
    ) -> Answer:
        """Return the first answer that needs no retry, or the last one."""
        self._budget = min(RETRY_BUDGET_MAX, self._budget + RETRY_BUDGET_PER_CALL)
        last_start_s = self._clock.now() + min(RETRY_TIME_S, self._timeout_s)
        async with call.time_limit(self._timeout_s):
            while True:
                url = self._urls[self._current]
                reply = await self._send(call, url)
                answer = None if reply is None else _parse(call, reply, url)
                if answer is not None:
                    call.unanswered_urls.pop()
                    if is_final(answer):
                        return answer
                call.record_reply(url, reply)
                delay_s = self._retry_delay_s(call.tries, reply)
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
        call.unanswered_urls.append(url)
        try:
            reply = await self._http.request(
                call.method, url + call.path, content=call.content, headers=call.headers
            )
        except _NOT_SENT_ERRORS as error:
            call.unanswered_urls.pop()
            call.is_sent = False
            call.reason = f"{url}: {type(error).__name__}"
        except httpx.HTTPError as error:
            call.reason = f"{url}: {type(error).__name__}"
        else:
            return reply
        return None

    def _retry_delay_s(self, tries: int, reply: httpx.Response | None) -> float:
        # Full jitter spreads the retries of clients that failed at the same time.
        ceiling_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**tries)
        delay_s = self._rng.uniform(0, ceiling_s)
        retry_after = "" if reply is None else reply.headers.get("retry-after", "")
        if retry_after.isascii() and retry_after.isdigit() and len(retry_after) < 10:
            delay_s += int(retry_after)
        return delay_s

    def _may_retry(self, call: _Call, last_start_s: float) -> bool:
        if call.tries >= MAX_TRIES or self._clock.now() > last_start_s:
            return False
        # A try that was not sent put no load on a host.
        if call.is_sent:
            if self._budget < 1:
                return False
            self._budget -= 1
        return True


@attrs.define
class _Call:
    """State of one call and its tries.

    :param tries: number of tries so far.
    :param is_sent: whether the last try was sent.
    :param unanswered_urls: URL of each try that was sent and got no usable answer.
    :param reason: why the last try failed.
    """

    method: str
    path: str
    key: str = ""
    content: bytes = b""
    headers: dict[str, str] = attrs.Factory(dict)
    tries: int = 0
    is_sent: bool = False
    unanswered_urls: list[str] = attrs.Factory(list)
    reason: str = ""

    def record_reply(self, url: str, reply: httpx.Response | None) -> None:
        if reply is not None:
            self.reason = f"{url}: status {reply.status_code} without a usable answer"

    @contextlib.asynccontextmanager
    async def time_limit(self, timeout_s: float) -> AsyncIterator[None]:
        try:
            async with asyncio.timeout(timeout_s):
                yield
        except TimeoutError:
            self.reason = f"no answer within {timeout_s:g} s"
            raise self.error() from None

    def error(self, reason: str = "") -> errors.ClientError:
        subject = f"key {self.key}" if self.key else f"{self.method} {self.path}"
        text = f"{subject}: gave up after {self.tries} tries: {reason or self.reason}"
        if not self.unanswered_urls:
            return errors.ClientError(f"{text}; no request is left unanswered")
        state = f"; sent to {self.unanswered_urls[-1]} and not answered"
        if self.method == "POST" and self.key:
            state += ", so the job may have run; the same key gives its outcome"
        return errors.ClientError(text + state)


def _checked_url(url: str) -> str:
    try:
        parts = urllib.parse.urlsplit(url)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        is_valid = (
            is_valid and parts.port != 0 and not parts.query and not parts.fragment
        )
    except ValueError:
        is_valid = False
    if not is_valid:
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


def _json_object(reply: httpx.Response) -> dict[str, Any] | None:
    try:
        value = msgspec.json.decode(reply.content)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


class _AnswerBody(msgspec.Struct):
    code: int
    start: str | None
    outcome: Literal["complete", "failed", "refused", "pending"]
    attempt: int
    detail: str
    key: str
    results: list[Any] = msgspec.field(default_factory=list)


_DECODER = msgspec.json.Decoder(_AnswerBody)


def _parse(call: _Call, reply: httpx.Response, url: str) -> Answer | None:
    """Return the answer in a reply; ``None`` when it is not a valid one to the call."""
    try:
        body = _DECODER.decode(reply.content)
        code = codes.Code(body.code)
    except (ValueError, RecursionError):
        return None
    start_class = codes.start_class(code)
    if body.start != (start_class.value if start_class else None):
        return None
    if (body.outcome == "complete") != (code is codes.Code.COMPLETE):
        return None
    # Only the answer to a malformed request lacks the key. NOT_FOUND without the key
    # means that the path has no route and says nothing about the job.
    needs_key = code in (codes.Code.COMPLETE, codes.Code.NOT_FOUND)
    if body.key != call.key and (body.key or needs_key):
        return None
    return Answer(
        code,
        code.name,
        body.start,
        body.outcome,
        body.attempt,
        body.detail,
        tuple(body.results),
        call.key,
        url,
    )


def _is_retryable(answer: Answer) -> bool:
    retryable = codes.MEANING_BY_CODE[answer.code].retryable
    return retryable and answer.code not in _CANCELLED_OR_EXPIRED


def _is_final_for_submission(answer: Answer) -> bool:
    return answer.outcome == "pending" or not _is_retryable(answer)


def _is_final_for_query(answer: Answer) -> bool:
    return answer.outcome != "refused" or not _is_retryable(answer)
