"""Handles the requests received at `bind`: users' requests on jobs, workers' heartbeats, metrics and health checks.

Each request is handled by its own task. A request that cannot be served now is refused at once, so that the client
retries at another controller.
"""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from sloeswitch import wire
from sloeswitch.actors.base import InboxFullError
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_requests import FINAL_STATUSES, CancelFailure
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.actors.machines import Machines
from sloeswitch.core.quota import unschedulable_reason
from sloeswitch.http import Answer, Request, retry_later
from sloeswitch.replica import StaleReplicaError
from sloeswitch.wire import JobStatus

log = logging.getLogger("users")

# Users wait 2 s for the answer to a poll and 5 s for other answers (protocol). A refusal must be sent well before that.
READ_TIMEOUT_S = 1.0
# Refused clients should retry within the timeout of requests to the state service, a fraction of the controller lease.
RETRY_AFTER_S = 1.0
# The Prometheus text format.
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# A heartbeat that arrives on the same connection within this number of report intervals after an answer shows that the
# worker received the answer.
ANSWER_RECEIVED_INTERVALS = 2


# Returns the current metrics in the Prometheus text format.
MetricsRenderer = Callable[[], Awaitable[bytes]]


class Route(NamedTuple):
    """One operation: its method, its path and its handler. The first group of the path, if any, is the job id."""

    method: str
    path: re.Pattern[str]
    handler: Callable[[Request, str], Awaitable[Answer]]


def error_answer(status: int, text: str) -> Answer:
    """An answer whose body describes the error."""
    return Answer(status, wire.encode({"error": text}))


def bad_request(text: str) -> Answer:
    """The answer to a malformed request."""
    return error_answer(400, text)


def not_found(text: str) -> Answer:
    """The answer if the path or the job does not exist."""
    return error_answer(404, text)


def method_not_allowed(allowed: str) -> Answer:
    """The answer if the path does not support the method of the request."""
    return Answer(405, b'{"error":"method not allowed"}', [("Allow", allowed)])


def unschedulable(reason: str) -> Answer:
    """The answer to the submission of a job that can never run."""
    return error_answer(422, reason)


def unavailable() -> Answer:
    """The answer to a request that this controller cannot serve now."""
    return retry_later(RETRY_AFTER_S)


def job_answer(name: str, status: JobStatus, is_new: bool = False) -> Answer:
    """The answer to a submission or a cancellation: the job's status."""
    return Answer(201 if is_new else 200, wire.submission_reply(name, status))


class Users:
    """Answers the requests of users, workers and monitoring. Keeps no state except per connection."""

    def __init__(
        self, context: ControllerContext, jobs: Jobs, machines: Machines, render_metrics: MetricsRenderer | None = None
    ) -> None:
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.tables = context.tables
        self.leadership = context.leadership
        self.jobs = jobs
        self.machines = machines
        self._render_metrics = render_metrics
        self._routes = (
            Route("POST", re.compile(r"/agent/beat"), self._heartbeat),
            Route("GET", re.compile(r"/healthz"), self._health),
            Route("GET", re.compile(r"/metrics"), self._answer_metrics),
            Route("POST", re.compile(r"/submissions"), self._submit),
            Route("GET", re.compile(r"/*submissions/([^/]+)/*"), self._poll),
            Route("POST", re.compile(r"/*submissions/([^/]*)/cancel/*"), self._cancel),
        )

    async def handle(self, request: Request) -> Answer:
        """Answers one request; an unexpected exception is logged and the request is refused."""
        try:
            return await self._route(request)
        except InboxFullError:
            return unavailable()
        except Exception:
            log.exception("request failed: method=%s path=%s", request.method, request.path)
            return unavailable()

    async def _route(self, request: Request) -> Answer:
        path = request.path.partition("?")[0]
        for route in self._routes:
            match = route.path.fullmatch(path)
            if match is None:
                continue
            if request.method != route.method:
                return method_not_allowed(route.method)
            return await route.handler(request, match[1] if match.re.groups else "")
        return not_found("no such path")

    # -- health

    @property
    def is_ready(self) -> bool:
        """Whether this controller has loaded the tables and the machine types and is a member of the view."""
        return self.replica.loaded and bool(self.tables.machine_types) and self.leadership.is_member

    @property
    def is_healthy(self) -> bool:
        """Whether clients should send their requests to this controller.

        A controller without the state service still answers requests on finished jobs and refuses others at once. If no
        sibling reaches the state service, no controller can do more, so this one counts as healthy. It is unhealthy if
        a sibling reaches the state service, and also if no sibling answers: then it is disconnected, and the others may
        work normally.
        """
        if not self.is_ready:
            return False
        if self.leadership.is_leader:
            return True
        mesh = self.leadership.mesh
        if mesh is None or not mesh.peers:
            return True
        now_s, lease_s = self.client.now(), self.settings.controller_lease_s
        connected = [peer for peer in mesh.peers.values() if now_s - peer.requested_at < lease_s]
        return bool(connected) and not any(peer.state_reachable for peer in connected)

    async def _health(self, _request: Request, _job: str) -> Answer:
        return Answer(200) if self.is_healthy else unavailable()

    # -- metrics

    async def _answer_metrics(self, _request: Request, _job: str) -> Answer:
        if self._render_metrics is None:
            return not_found("no metrics")
        return Answer(200, await self._render_metrics(), content_type=METRICS_CONTENT_TYPE)

    # -- submit

    async def _submit(self, request: Request, _job: str) -> Answer:
        try:
            name = wire.submitted_id(request.body)
        except wire.MalformedError as error:
            return bad_request(str(error))
        if name is None:
            return bad_request("id: not in the form wk-000412")
        if not self.replica.loaded or self._is_delegated(name):
            # A job with this id was delegated by another cell. The id is not available until that cell has acknowledged
            # the end of the delegation.
            return unavailable()
        if self.jobs.status(name) is not None:
            return await self._answer_known_job(name)
        try:
            spec = wire.check_spec(wire.decode(request.body, wire.JobSpec))
        except wire.MalformedError as error:
            # A repeated submission of an accepted job gets the job's status, even if its other fields are invalid.
            log.info("submission malformed: job=%s error=%s", name, error)
            return await self._answer_known_job_or(name, bad_request(str(error)))
        return await self._refusal(spec) or await self._accept(spec)

    async def _refusal(self, spec: wire.JobSpec) -> Answer | None:
        """Returns the refusal of a submission; None if it can be accepted."""
        if not self.tables.machine_types:
            return unavailable()
        reason = unschedulable_reason(spec, self.settings.teams, self.tables.machine_types)
        if reason is not None:
            return await self._answer_known_job_or(spec.id, unschedulable(reason))
        if not self.client.is_reachable:
            return unavailable()
        return await self._prerequisites_refusal(spec) if spec.prerequisites else None

    async def _prerequisites_refusal(self, spec: wire.JobSpec) -> Answer | None:
        """Returns the refusal of a submission because of its prerequisites; None if all of them are known.

        An accepted job stays known, so a linearizable read is needed only if the tables lack a prerequisite.
        """
        if not self.tables.layout_complete:
            # A controller with an earlier layout would start the job's tasks too early.
            return unavailable()
        if any(self._is_delegated(name) for name in spec.prerequisites):
            return unavailable()
        if all(self.jobs.status(name) is not None for name in spec.prerequisites):
            return None
        if not await self._read_linearizable():
            return unavailable()
        if self.jobs.status(spec.id) is not None:
            return await self._answer_known_job(spec.id)
        unknown = [name for name in spec.prerequisites if self.jobs.status(name) is None]
        return unschedulable(f"awaits {unknown[0]}, which was never accepted") if unknown else None

    async def _accept(self, spec: wire.JobSpec) -> Answer:
        submission = await self.jobs.submit(spec)
        if submission is None:
            return unavailable()
        return job_answer(spec.id, submission.status, submission.is_new)

    # -- poll and cancel

    async def _poll(self, _request: Request, name: str) -> Answer:
        if not await self._is_status_current(name):
            return unavailable()
        status = self.jobs.status(name)
        if status is None or self._is_delegated(name):
            return not_found("no such job")
        finished = self.tables.finished_jobs.get(name)
        if finished is not None:
            return Answer(200, wire.poll_reply(name, status, finished.tasks if finished.is_done else 0, 0))
        job = self.tables.jobs[name]
        done = job.progress.done.bit_count()
        running = job.progress.claimed_tasks().bit_count()
        handoff = None if job.outgoing_handoffs is None else job.outgoing_handoffs.moved_to
        cell = None if handoff is None else handoff.target
        return Answer(200, wire.poll_reply(name, status, done, running, cell))

    async def _cancel(self, _request: Request, name: str) -> Answer:
        if not self.replica.loaded:
            return unavailable()
        if self.jobs.status(name) not in FINAL_STATUSES and not self.client.is_reachable:
            return unavailable()
        if self._is_delegated(name):
            return not_found("no such job")
        result = await self.jobs.cancel(name)
        if result is None:
            return unavailable()
        return not_found("no such job") if isinstance(result, CancelFailure) else job_answer(name, result)

    # -- known jobs

    def _is_delegated(self, name: str) -> bool:
        """Whether another cell delegated the job to this one. Such jobs are hidden from the users of this cell."""
        job, finished = self.tables.jobs.get(name), self.tables.finished_jobs.get(name)
        return (job is not None and job.incoming_handoff is not None) or (
            finished is not None and finished.incoming_handoff is not None
        )

    async def _is_status_current(self, name: str) -> bool:
        """Whether the job's status in the tables is at least as recent as any status that another controller answered.

        A final status never changes, so only other statuses need a linearizable read.
        """
        return self.jobs.status(name) in FINAL_STATUSES or await self._read_linearizable()

    async def _answer_known_job(self, name: str) -> Answer:
        """Answers with the status of a job that the tables contain."""
        if not await self._is_status_current(name):
            return unavailable()
        return job_answer(name, self.jobs.status(name) or JobStatus.QUEUED)

    async def _answer_known_job_or(self, name: str, otherwise: Answer) -> Answer:
        """Answers with the job's status if it was ever accepted, and otherwise with `otherwise`."""
        if not await self._read_linearizable():
            return unavailable()
        return await self._answer_known_job(name) if self.jobs.status(name) is not None else otherwise

    async def _read_linearizable(self) -> bool:
        """Updates the tables by a linearizable read; returns whether it succeeded in time."""
        if not self.replica.loaded or not self.client.is_reachable:
            return False
        try:
            await self.replica.read_linearizable(READ_TIMEOUT_S)
        except StaleReplicaError:
            return False
        return True

    # -- workers

    async def _heartbeat(self, request: Request, _job: str) -> Answer:
        try:
            report = wire.decode(request.body, wire.WorkerReport)
        except wire.MalformedError as error:
            log.error("report malformed: error=%s", error)
            return bad_request(str(error))
        # A report on the same connection within two report intervals of the last answer confirms that the worker
        # received that answer. A later report confirms nothing, because it may have been delayed on the way.
        answered_at_s = request.connection_state.get(report.machine, -math.inf)
        received = self.client.now() - answered_at_s < ANSWER_RECEIVED_INTERVALS * self.settings.report_s
        answer: Answer | None = await self.machines.ask(HeartbeatRequest(report=report, last_answer_received=received))
        if answer is None:
            return unavailable()
        if answer.status == 200:
            request.connection_state[report.machine] = self.client.now()
        return answer
