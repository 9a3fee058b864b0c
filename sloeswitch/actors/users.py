"""What comes in over `bind`: users' requests on jobs, workers' heartbeats, and the health check.

Each request is answered by its own task. A request that cannot be carried out now is refused at once, so that the
client goes to another controller.
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

# Users wait 2 s for a poll and 5 s for the rest (protocol); a refusal must come well before.
READ_TIMEOUT_S = 1.0
# State calls time out after a part of the controller lease; clients are to be back by then.
RETRY_AFTER_S = 1.0
# The text format of Prometheus.
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# A heartbeat on the same connection within so many intervals shows that the answer before it was received.
ANSWER_RECEIVED_INTERVALS = 2


# The metrics as they are now, in the text format.
MetricsRenderer = Callable[[], Awaitable[bytes]]


class Route(NamedTuple):
    """One operation: its method, its path, whose first group is the job if there is one, and what answers it."""

    method: str
    path: re.Pattern[str]
    handler: Callable[[Request, str], Awaitable[Answer]]


def error_answer(status: int, text: str) -> Answer:
    """An answer that tells the client what is wrong with its request."""
    return Answer(status, wire.encode({"error": text}))


def bad_request(text: str) -> Answer:
    """The request is malformed."""
    return error_answer(400, text)


def not_found(text: str) -> Answer:
    """There is no such thing."""
    return error_answer(404, text)


def method_not_allowed(allowed: str) -> Answer:
    """The path takes another method."""
    return Answer(405, b'{"error":"method not allowed"}', [("Allow", allowed)])


def unschedulable(reason: str) -> Answer:
    """The job can never run."""
    return error_answer(422, reason)


def unavailable() -> Answer:
    """The request cannot be carried out now, by this controller."""
    return retry_later(RETRY_AFTER_S)


def job_answer(name: str, status: JobStatus, is_new: bool = False) -> Answer:
    """The job's status, after a submission or a cancellation."""
    return Answer(201 if is_new else 200, wire.submission_reply(name, status))


class Users:
    """Answers the requests of users, workers and monitoring. Holds no state but that of the connections."""

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
        """Answers one request; a fault in it is logged and ends only that request."""
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
        """Whether this controller has read all it needs and is a member of the view."""
        return self.replica.loaded and bool(self.tables.machine_types) and self.leadership.is_member

    @property
    def is_healthy(self) -> bool:
        """Whether clients should come to this controller.

        Without the state service a controller still answers final statuses and refuses the rest at once, which is as
        good as any other one can do, unless a sibling still reaches the state service. One that hears from none of
        its siblings either is cut off: the others may be well.
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
            # The name may be that of a job which another cell handed over, until that is acknowledged there.
            return unavailable()
        if self.jobs.status(name) is not None:
            return await self._answer_known(name)
        try:
            spec = wire.check_spec(wire.decode(request.body, wire.JobSpec))
        except wire.MalformedError as error:
            # A repeat of an accepted job is known whatever else is in it: look before refusing.
            log.info("submission malformed: job=%s error=%s", name, error)
            return await self._answer_known_or(name, bad_request(str(error)))
        return await self._refusal(spec) or await self._accept(spec)

    async def _refusal(self, spec: wire.JobSpec) -> Answer | None:
        """The answer to a submission that is not to be accepted; None if it is."""
        if not self.tables.machine_types:
            return unavailable()
        reason = unschedulable_reason(spec, self.settings.teams, self.tables.machine_types)
        if reason is not None:
            return await self._answer_known_or(spec.id, unschedulable(reason))
        if not self.client.is_reachable:
            return unavailable()
        return await self._prerequisites_refusal(spec) if spec.prerequisites else None

    async def _prerequisites_refusal(self, spec: wire.JobSpec) -> Answer | None:
        """The refusal of a submission for its prerequisites; None if they are all known.

        Jobs once accepted stay known, so that only one which the tables lack needs a linearizable read.
        """
        if not self.tables.layout_complete:
            # A controller of an earlier layout would start its tasks too early.
            return unavailable()
        if any(self._is_delegated(name) for name in spec.prerequisites):
            return unavailable()
        if all(self.jobs.status(name) is not None for name in spec.prerequisites):
            return None
        if not await self._read_linearizable():
            return unavailable()
        if self.jobs.status(spec.id) is not None:
            return await self._answer_known(spec.id)
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
        placement = None if job.outgoing_handoffs is None else job.outgoing_handoffs.moved_to
        cell = None if placement is None else placement.target
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

    # -- what is known of a job

    def _is_delegated(self, name: str) -> bool:
        """Whether another cell handed the job over: for this cell's users there is none of that name."""
        job, finished = self.tables.jobs.get(name), self.tables.finished_jobs.get(name)
        return (job is not None and job.incoming_handoff is not None) or (
            finished is not None and finished.incoming_handoff is not None
        )

    async def _is_status_current(self, name: str) -> bool:
        """Whether the tables' status of the job is not older than one that another controller answered.

        A final status is read from the tables as they are; any other needs a linearizable read.
        """
        return self.jobs.status(name) in FINAL_STATUSES or await self._read_linearizable()

    async def _answer_known(self, name: str) -> Answer:
        """The status of a job that the tables have."""
        if not await self._is_status_current(name):
            return unavailable()
        return job_answer(name, self.jobs.status(name) or JobStatus.QUEUED)

    async def _answer_known_or(self, name: str, otherwise: Answer) -> Answer:
        """The status of the job if it was ever accepted; else the other answer."""
        if not await self._read_linearizable():
            return unavailable()
        return await self._answer_known(name) if self.jobs.status(name) is not None else otherwise

    async def _read_linearizable(self) -> bool:
        """Reads the tables afresh; returns whether that was possible in time."""
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
        # A report on the same connection, as soon as the next one is due, shows that the last answer was
        # received. One that was held up on the way shows nothing of the kind.
        answered_at_s = request.connection_state.get(report.machine, -math.inf)
        received = self.client.now() - answered_at_s < ANSWER_RECEIVED_INTERVALS * self.settings.report_s
        answer: Answer | None = await self.machines.ask(HeartbeatRequest(report=report, last_answer_received=received))
        if answer is None:
            return unavailable()
        if answer.status == 200:
            request.connection_state[report.machine] = self.client.now()
        return answer
