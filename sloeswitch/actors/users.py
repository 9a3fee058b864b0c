"""Users: what comes in over `bind`. Each request is answered by its own task; nothing is held back."""

from __future__ import annotations

import logging
import math

from sloeswitch import wire
from sloeswitch.actors.base import InboxFullError
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.machines import HeartbeatRequest, Machines
from sloeswitch.core.quota import unschedulable_reason
from sloeswitch.http import Answer, Request, refuse
from sloeswitch.replica import StaleReplicaError

log = logging.getLogger("users")


def fault(status: int, text: str) -> Answer:
    return Answer(status, wire.encode({"error": text}))


class Users:
    def __init__(self, context: ControllerContext, jobs: Jobs, machines: Machines) -> None:
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.tables = context.replica.tables
        self.leadership = context.leadership
        self.jobs = jobs
        self.machines = machines
        # Users wait 2 s for a poll and 5 s for the rest (protocol); a refusal must come well before.
        self.read_s = 1.0
        # State calls time out after a part of the controller lease; back by then.
        self.retry_s = 1.0

    async def handle(self, request: Request) -> Answer:
        try:
            return await self._route(request)
        except InboxFullError:
            return refuse(self.retry_s)
        except Exception:
            log.exception("while handling %s %s", request.method, request.path)
            return refuse(self.retry_s)

    async def _route(self, request: Request) -> Answer:
        path = request.path.partition("?")[0]
        parts = path.strip("/").split("/")
        if path == "/agent/beat":
            return await self._only("POST", request) or await self._heartbeat(request)
        if path == "/healthz":
            return await self._only("GET", request) or self._healthz()
        if path == "/submissions":
            return await self._only("POST", request) or await self._submit(request)
        if len(parts) == 2 and parts[0] == "submissions":
            return await self._only("GET", request) or await self._poll(parts[1])
        if len(parts) == 3 and parts[0] == "submissions" and parts[2] == "cancel":
            return await self._only("POST", request) or await self._cancel(parts[1])
        return fault(404, "no such path")

    @staticmethod
    async def _only(method: str, request: Request) -> Answer | None:
        if request.method == method:
            return None
        return Answer(405, b'{"error":"method not allowed"}', [("Allow", method)])

    @property
    def is_ready(self) -> bool:
        return self.replica.loaded and bool(self.tables.machine_types) and self.leadership.is_member

    def _healthz(self) -> Answer:
        if not self.is_ready:
            return refuse(self.retry_s)
        if self.leadership.is_leader:
            return Answer(200)
        # Without the state service a node still tells final states and refuses the rest at once, which
        # is as good as any other node can do, unless a sibling still reaches the state service. One that
        # hears none of its siblings either is cut off: the others may be well.
        mesh = self.leadership.mesh
        if mesh is None or not mesh.peers:
            return Answer(200)
        now, span = self.client.now(), self.settings.controller_lease_s
        heard = [peer for peer in mesh.peers.values() if now - peer.asked_at < span]
        return Answer(200) if heard and not any(peer.state_reachable for peer in heard) else refuse(self.retry_s)

    async def _read_linearizable(self) -> bool:
        if not self.replica.loaded or not self.client.is_reachable:
            return False
        try:
            await self.replica.read_linearizable(self.read_s)
        except StaleReplicaError:
            return False
        return True

    async def _submit(self, request: Request) -> Answer:
        try:
            name = wire.submitted_id(request.body)
        except wire.MalformedError as error:
            return fault(400, str(error))
        if name is None:
            return fault(400, "id: not in the form wk-000412")
        if not self.replica.loaded:
            return refuse(self.retry_s)
        if self._handed_over(name):
            # It has the name of a job that another cell handed over, until that is acknowledged there.
            return refuse(self.retry_s)
        if self.jobs.status(name) is not None:
            return await self._answer_known(name)
        try:
            spec = wire.check_spec(wire.decode(request.body, wire.JobSpec))
        except wire.MalformedError as error:
            # A repeat of an accepted job is known whatever else is in it: look before refusing.
            log.info("%s is malformed: %s", name, error)
            return await self._answer_known_or(name, fault(400, str(error)))
        if not self.tables.machine_types:
            return refuse(self.retry_s)
        why = unschedulable_reason(spec, self.settings.teams, self.tables.machine_types)
        if why is not None:
            return await self._answer_known_or(name, fault(422, why))
        if not self.client.is_reachable:
            return refuse(self.retry_s)
        if spec.prerequisites:
            refused = await self._check_prerequisites(spec)
            if refused is not None:
                return refused
        accepted = await self.jobs.submit(spec)
        if accepted is None:
            return refuse(self.retry_s)
        status, new = accepted
        return Answer(201 if new else 200, wire.submission_reply(name, status))

    def _handed_over(self, name: str) -> bool:
        """Whether another cell handed the job over: for this cell's users there is none of that name."""
        job, over = self.tables.jobs.get(name), self.tables.finished_jobs.get(name)
        return (job is not None and job.delegated is not None) or (over is not None and over.delegated is not None)

    async def _check_prerequisites(self, spec: wire.JobSpec) -> Answer | None:
        """The refusal of a submission for the jobs that it awaits, or None. Jobs once accepted stay known, so
        that only one which the tables lack needs a fresh read."""
        if not self.tables.layout_complete:
            # A controller of an earlier layout would start its tasks too early.
            return refuse(self.retry_s)
        if any(self._handed_over(name) for name in spec.prerequisites):
            return refuse(self.retry_s)
        if all(self.jobs.status(name) is not None for name in spec.prerequisites):
            return None
        if not await self._read_linearizable():
            return refuse(self.retry_s)
        if self.jobs.status(spec.id) is not None:
            return await self._answer_known(spec.id)
        unknown = [name for name in spec.prerequisites if self.jobs.status(name) is None]
        return fault(422, f"awaits {unknown[0]}, which was never accepted") if unknown else None

    async def _answer_known(self, name: str) -> Answer:
        """Final states are told from the tables; anything else needs a fresh read, so that no user
        gets an older answer than another node gave."""
        if self.jobs.status(name) not in (wire.DONE, wire.CANCELLED) and not await self._read_linearizable():
            return refuse(self.retry_s)
        return Answer(200, wire.submission_reply(name, self.jobs.status(name) or wire.QUEUED))

    async def _answer_known_or(self, name: str, otherwise: Answer) -> Answer:
        if not await self._read_linearizable():
            return refuse(self.retry_s)
        return await self._answer_known(name) if self.jobs.status(name) is not None else otherwise

    async def _poll(self, name: str) -> Answer:
        if self.jobs.status(name) not in (wire.DONE, wire.CANCELLED) and not await self._read_linearizable():
            return refuse(self.retry_s)
        status = self.jobs.status(name)
        if status is None or self._handed_over(name):
            return fault(404, "no such job")
        over = self.tables.finished_jobs.get(name)
        if over is not None:
            return Answer(200, wire.poll_reply(name, status, over.tasks if over.is_done else 0, 0))
        job = self.tables.jobs[name]
        done = job.progress.done.bit_count()
        running = job.progress.claimed_tasks().bit_count()
        away = None if job.handoff is None else job.handoff.away
        return Answer(200, wire.poll_reply(name, status, done, running, None if away is None else away.target))

    async def _cancel(self, name: str) -> Answer:
        if not self.replica.loaded:
            return refuse(self.retry_s)
        if self.jobs.status(name) not in (wire.DONE, wire.CANCELLED) and not self.client.is_reachable:
            return refuse(self.retry_s)
        if self._handed_over(name):
            return fault(404, "no such job")
        status = await self.jobs.cancel(name)
        if status is None:
            return refuse(self.retry_s)
        if status == "":
            return fault(404, "no such job")
        return Answer(200, wire.submission_reply(name, status))

    async def _heartbeat(self, request: Request) -> Answer:
        try:
            report = wire.decode(request.body, wire.WorkerReport)
        except wire.MalformedError as error:
            log.error("malformed report: %s", error)
            return fault(400, str(error))
        # A report on the same connection, as soon as the next one is due, shows that the last answer was
        # received. One that was held up on the way shows nothing of the kind.
        received = (
            self.client.now() - request.connection_state.get(report.machine, -math.inf) < 2 * self.settings.report_s
        )
        answer: Answer | None = await self.machines.ask(HeartbeatRequest(report=report, last_answer_received=received))
        if answer is None:
            return refuse(self.retry_s)
        if answer.status == 200:
            request.connection_state[report.machine] = self.client.now()
        return answer
