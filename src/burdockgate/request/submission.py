"""A job as an entry host holds it while callers wait for it.

A submission is in one of three phases: its claim is being decided
(:attr:`Submission.claimant`), this entry host owns it (:attr:`Submission.owned_job`),
or another one owns it (:attr:`Submission.owner`).
"""

from __future__ import annotations

import attrs

from burdockgate import codes, messages
from burdockgate.request import claimant as claimants
from burdockgate.request import job as jobs
from burdockgate.request import ownedjob


@attrs.define
class Submission:
    """State of one job at one entry host.

    :param request: the job; ``None`` while callers only ask for it.
    :param tickets: callers that wait here.
    :param attached: entry hosts that wait for the outcome.
    :param refusal: code with which the job is refused if no claim is held.
    :param record: the claim record last seen.
    :param waits_since: since when the owner has not been connected, in seconds.
    :param confirmation: claim that confirms a "not run" before it is answered.
    :param retry_at: when to claim again after another claimant failed.
    :param cancels: whether the callers want the job cancelled.
    :param had_attempt: whether an earlier attempt may have run.
    :param number: its place in the order in which the jobs came.
    :param scheduled_at: when it is looked at next, if nothing changes.
    """

    job: bytes
    deadline_at: float
    request: jobs.JobRequest | None = None
    tickets: set[int] = attrs.field(factory=set)
    attached_hosts: set[str] = attrs.field(factory=set)
    refusal: codes.Code | None = None
    refusal_detail: str = ""
    claimant: claimants.Claimant | None = None
    extension: claimants.Claimant | None = None
    confirmation: claimants.Claimant | None = None
    owned_job: ownedjob.OwnedJob | None = None
    owner: messages.Node | None = None
    claim_record: messages.ClaimRecord | None = None
    owner_disconnected_at: float | None = None
    retry_at: float | None = None
    is_cancel_requested: bool = False
    had_attempt: bool = False
    number: int = 0
    scheduled_at: float | None = None
