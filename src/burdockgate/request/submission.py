"""The state of a job at an entry host while callers wait for it.

A submission is in one of three phases: its claim is open
(:attr:`Submission.claimant`), this entry host owns the job
(:attr:`Submission.owned_job`), or another one does (:attr:`Submission.owner`).
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

    :param job: 16-byte job id.
    :param step_deadline_at: time at which an open claim, the wait for the owner or the
        confirmation fails, in seconds.
    :param request: the job; ``None`` while callers only ask for its outcome.
    :param tickets: numbers of the callers that wait here.
    :param attached_hosts: names of the entry hosts that wait for the outcome.
    :param refusal: code with which the job is refused if it is not claimed.
    :param claimant: the open claim of the job.
    :param extension: open claim for a longer scope of the owned job.
    :param confirmation: open claim that confirms a "not run" outcome before callers
        get it.
    :param claim_record: the latest claim record of another claim.
    :param owner_disconnected_at: time since which the owner has not been connected.
    :param retry_at: time of the next claim, set when the supposed owner has replied
        that it does not own the job.
    :param is_cancel_requested: whether a caller has cancelled the job.
    :param may_have_run_before: whether an earlier attempt may have run.
    :param arrival_number: position in the order of arrival.
    :param scheduled_at: time of the entry in the schedule heap.
    """

    job: bytes
    step_deadline_at: float
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
    may_have_run_before: bool = False
    arrival_number: int = 0
    scheduled_at: float | None = None
