"""The machines of one controller: what they reported, what they were told, and what may be on them.

The rules that keep a task from running twice live here:
- a machine is *heard* once it reported under the present view's token;
- a start counts as not carried out only when a later *heartbeat* lacks it: an answer to a heartbeat may still
  arrive while the reply to a direct command overtakes it;
- a silent machine's tasks count as existing until its lease is surely over or it is deleted;
- a report of a session that is surely over, however late it comes, says nothing any more.

A report lists every task of its machine, and mostly nothing has changed: sums are kept up as attempts come
and go, so that such a report costs a look-up for each task.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from sloeswitch.core.tables import LIVE, Tables
from sloeswitch.wire import (
    JobSpec,
    MachineType,
    MalformedError,
    ReportedTask,
    WorkerCommand,
    WorkerReport,
    split_task,
    task_name,
)

PENDING, RUNNING, ENDED, FETCHING = "pending", "running", "ended", "fetching"
TASK_STATES = {"fetching", "gathering", "running", "flushing", "ended"}

Task = tuple[str, int]


@dataclass
class Attempt:
    """One attempt on one machine, from the decision to start it until it is gone."""

    job: str
    index: int
    number: int
    spec: JobSpec
    state: str = PENDING
    seen: bool = False
    sent_serial: int | None = None
    kill_grace_s: float | None = None
    placed_at: float = 0.0
    killed_at: float = 0.0
    running_at: float | None = None

    def __post_init__(self) -> None:
        self.name = task_name(self.job, self.index)

    @property
    def task(self) -> Task:
        return self.job, self.index

    @property
    def key(self) -> tuple[str, int]:
        return self.name, self.number


@dataclass
class Machine:
    """One machine, as its reports tell it."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int = 0
    serial: int = 0
    # The last session whose lease is surely over: nothing that it reported can be true any more.
    session_over: int = 0
    # Reports under tokens from here on are ours: we have owned the machine since that view.
    since_token: int = 0
    heard: bool = False
    # Nothing of an earlier owner can be on it any more.
    accounted: bool = False
    # Whether the last report came from a machine seen to have received the answer before it.
    reached: bool = False
    reached_at: float = float("-inf")
    answered_at: float = float("-inf")
    heard_at: float = float("-inf")
    # The last report of its own accord; the first word of any kind under this ownership counts as one.
    reported_at: float | None = None
    gone_at: float = float("inf")
    notice_s: float | None = None
    draining: bool = False
    # Since when users have been told of a cancellation of which a task may be on it. It outlasts our books'
    # word that the lease is over: a machine that hangs gives its tasks up only when it goes on.
    cancelled_since: float | None = None
    spared: bool = False
    attempts: dict[Task, Attempt] = field(default_factory=dict)
    # The same attempts by what reports call them, what they use together, and their images.
    keyed: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    use: ResourceUsage = field(default_factory=ResourceUsage)
    memory: float = 0.0
    fetched: dict[str, int] = field(default_factory=dict)
    # Exited attempts to be cleared: (task name, attempt) -> whether the result is a completion.
    exited: dict[tuple[str, int], bool] = field(default_factory=dict)
    # Attempts the worker reports that are not ours to keep.
    unwanted: dict[tuple[str, int], None] = field(default_factory=dict)
    images: dict[str, None] = field(default_factory=dict)

    @property
    def known(self) -> bool:
        return self.heard or self.accounted


@dataclass
class ReconcileResult:
    """What a report brought to light."""

    fresh: bool = False
    done: list[tuple[Task, str]] = field(default_factory=list)
    failed: list[tuple[Task, str]] = field(default_factory=list)
    adopt: list[Task] = field(default_factory=list)
    freed: bool = False


class MachineRegistry:
    """All machines that this controller owns under the present view."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.placed: dict[str, int] = {}
        # What the attempts of each team use.
        self.uses: dict[str, ResourceUsage] = {}
        # Tasks of ours that were on machines which moved to another owner; nowhere else until settled.
        self.limbo: dict[str, int] = {}
        self.adopting: dict[str, int] = {}

    # -- ownership

    def reset(self) -> None:
        """A new run of the controller owns nothing yet."""
        self.__init__()  # type: ignore[misc]

    def take(self, name: str, address: str, kind: str, zone: str, spot: bool, token: int, gone_at: float) -> Machine:
        """A machine that is ours from this view on."""
        machine = Machine(name, address, kind, zone, spot, since_token=token, gone_at=gone_at)
        self.machines[name] = machine
        return machine

    def unhear(self, machine: Machine, token: int, gone_at: float) -> None:
        """The machine may have had another owner in between: what is on it must be heard again."""
        self._to_limbo(machine)
        machine.since_token = token
        machine.heard = machine.accounted = False
        machine.reported_at = None
        machine.serial = machine.session = 0
        machine.gone_at = gone_at
        machine.exited.clear()
        machine.unwanted.clear()

    def give_up(self, name: str) -> None:
        machine = self.machines.pop(name)
        self._to_limbo(machine)

    def _to_limbo(self, machine: Machine) -> None:
        for attempt in list(machine.attempts.values()):
            self.limbo[attempt.job] = self.limbo.get(attempt.job, 0) | 1 << attempt.index
            self.drop(machine, attempt)

    def settled(self, tables: Tables, tag: str) -> bool:
        """Whether everything of the present view is heard or accounted for, and adoptions are stored."""
        for machine in self.machines.values():
            if not machine.known:
                return False
        for job, mask in self.adopting.items():
            record = tables.jobs.get(job)
            if record is not None and mask & ~record.progress.done & ~record.progress.claims.get(tag, 0):
                return False
        self.adopting.clear()
        return True

    def still_adopting(self) -> dict[str, int]:
        """Adoptions not yet known to be stored, of tasks that are still on our machines."""
        kept = {job: mask & self.placed.get(job, 0) for job, mask in self.adopting.items()}
        self.adopting = {job: mask for job, mask in kept.items() if mask}
        return self.adopting

    def prune_limbo(self, tables: Tables, tag: str) -> None:
        """Tasks that a new owner adopted or saw done are out of our hands, their allowance too."""
        for name in list(self.limbo):
            job = tables.jobs.get(name)
            mask = self.limbo[name] & job.progress.claims.get(tag, 0) if job is not None else 0
            if mask:
                self.limbo[name] = mask
            else:
                del self.limbo[name]

    # -- attempts

    def start(self, machine: Machine, job: str, index: int, number: int, spec: JobSpec, now: float) -> None:
        self._put(machine, Attempt(job, index, number, spec, placed_at=now))

    def _put(self, machine: Machine, attempt: Attempt) -> None:
        spec = attempt.spec
        machine.attempts[attempt.task] = machine.keyed[attempt.key] = attempt
        machine.use.add(spec)
        machine.memory += spec.memory
        machine.fetched[spec.image] = machine.fetched.get(spec.image, 0) + 1
        self.uses.setdefault(spec.team, ResourceUsage()).add(spec)
        self.placed[attempt.job] = self.placed.get(attempt.job, 0) | 1 << attempt.index

    def drop(self, machine: Machine, attempt: Attempt) -> None:
        if machine.attempts.get(attempt.task) is not attempt:
            return
        spec = attempt.spec
        del machine.attempts[attempt.task], machine.keyed[attempt.key]
        machine.use.add(spec, -1)
        machine.memory -= spec.memory
        if not machine.attempts:
            machine.use, machine.memory = ResourceUsage(), 0.0  # so that rounding does not add up
        machine.fetched[spec.image] -= 1
        if not machine.fetched[spec.image]:
            del machine.fetched[spec.image]
        self.uses[spec.team].add(spec, -1)
        mask = self.placed.get(attempt.job, 0) & ~(1 << attempt.index)
        if mask:
            self.placed[attempt.job] = mask
        else:
            self.placed.pop(attempt.job, None)
        if not self.placed:
            self.uses.clear()

    def lose(self, machine: Machine) -> list[Task]:
        """All that was on the machine is gone for certain."""
        lost = list(machine.attempts)
        for attempt in list(machine.attempts.values()):
            self.drop(machine, attempt)
        machine.exited.clear()
        machine.unwanted.clear()
        machine.accounted = True
        machine.heard = machine.reached = False
        return lost

    def lease_over(self, machine: Machine) -> list[Task]:
        """The machine's lease is surely over. Guards against reports of that session which were held up on
        the way: they may come with numbers never seen before, and would bring its tasks back to life."""
        machine.session_over = max(machine.session_over, machine.session)
        return self.lose(machine)

    def withdraw_unsent(self, machine: Machine) -> int:
        """Takes back what was placed on a machine and never sent there."""
        unsent = [a for a in machine.attempts.values() if a.sent_serial is None and not a.seen]
        for attempt in unsent:
            self.drop(machine, attempt)
        return len(unsent)

    def busy_tasks(self, job: str) -> int:
        """Tasks of the job that are, or may be, somewhere under this controller's responsibility."""
        return self.placed.get(job, 0) | self.limbo.get(job, 0)

    def waiting(self, job: str, claimed: int, done: int) -> int:
        """Tasks claimed by this controller that are nowhere: handed back, or not yet placed."""
        return claimed & ~done & ~self.busy_tasks(job)

    # -- reports

    def hear(
        self, machine: Machine, report: WorkerReport, heartbeat: bool, now: float, token: int, tables: Tables
    ) -> ReconcileResult:
        heard = ReconcileResult()
        if self.is_late(machine, report):
            return heard  # something newer is known
        if not machine.since_token <= report.token <= token:
            return heard  # not yet fenced: an earlier owner's answer may still act
        renewed = report.session > machine.session > 0
        ours = {} if renewed else machine.keyed
        exited = {} if renewed else machine.exited
        same = 0
        changed: list[tuple[Attempt, ReportedTask]] = []
        kept: set[tuple[str, int]] = set()
        foreign: list[tuple[Task, ReportedTask]] = []
        for item in report.tasks:
            key = (item.task, item.attempt)
            attempt = ours.get(key)
            if attempt is not None and attempt.seen and item.state == attempt.state:
                same += 1
                kept.add(key)
                continue
            if item.state not in TASK_STATES:
                raise MalformedError(f"task state {item.state!r}")
            if attempt is not None:
                changed.append((attempt, item))
                kept.add(key)
            elif key in exited:
                kept.add(key)
            else:
                foreign.append((split_task(item.task), item))
        heard.fresh = True
        if renewed:
            self.lose(machine)
            heard.freed = True
        first = not machine.known
        machine.session, machine.serial = report.session, report.serial
        machine.heard, machine.accounted = True, True
        machine.heard_at = now
        if heartbeat or machine.reported_at is None:
            machine.reported_at = now
        machine.notice_s = report.notice_s
        machine.address = report.address
        if same != len(machine.attempts):
            for attempt in list(machine.attempts.values()):
                if attempt.key not in kept:
                    self._missing(machine, attempt, heartbeat, report.serial, heard)
            for attempt, item in changed:
                self._progressed(machine, attempt, item.state, item.cause, now, heard)
        if machine.exited:
            for key in [key for key in machine.exited if key not in kept]:
                del machine.exited[key]
        if machine.cancelled_since is not None and all(a.kill_grace_s is None for a in machine.attempts.values()):
            machine.cancelled_since = None
        machine.unwanted.clear()
        for task, item in foreign:
            self._foreign(machine, task, item, first, tables, heard, now)
        return heard

    @staticmethod
    def is_late(machine: Machine, report: WorkerReport) -> bool:
        """Whether something newer is known than what the report says, or its session is over."""
        return report.session <= machine.session_over or (report.session, report.serial) <= (
            machine.session,
            machine.serial,
        )

    def _missing(
        self, machine: Machine, attempt: Attempt, heartbeat: bool, serial: int, heard: ReconcileResult
    ) -> None:
        """An attempt that a report lacks."""
        if attempt.seen:
            self.drop(machine, attempt)
            heard.freed = True
        elif heartbeat and attempt.sent_serial is not None and serial > attempt.sent_serial:
            attempt.sent_serial = None  # the answer that carried it was dropped: tell it again
            if attempt.kill_grace_s is not None:
                self.drop(machine, attempt)

    def _progressed(
        self, machine: Machine, attempt: Attempt, state: str, cause: str | None, now: float, heard: ReconcileResult
    ) -> None:
        attempt.seen = True
        attempt.state = state
        if state == RUNNING and attempt.running_at is None:
            attempt.running_at = now
        if state != FETCHING:
            machine.images.pop(attempt.spec.image, None)
            machine.images[attempt.spec.image] = None
        if state != ENDED:
            return
        self.drop(machine, attempt)
        heard.freed = True
        self._exited(machine, attempt.key, attempt.task, cause, heard)

    def _exited(
        self, machine: Machine, key: tuple[str, int], task: Task, cause: str | None, heard: ReconcileResult
    ) -> None:
        machine.exited[key] = cause == "done"
        if cause == "done":
            heard.done.append((task, machine.name))
        elif cause in ("error", "no_such"):
            heard.failed.append((task, machine.name))

    def _foreign(
        self,
        machine: Machine,
        task: Task,
        item: ReportedTask,
        first: bool,
        tables: Tables,
        heard: ReconcileResult,
        now: float,
    ) -> None:
        """A task on the machine that this controller did not start: an earlier owner did. Only the first
        report from a machine that was taken over can hold one to be kept."""
        name, index = task
        key = (item.task, item.attempt)
        if item.state == ENDED:
            self._exited(machine, key, task, item.cause, heard)
            return
        if not first:
            # Its place was accounted for without it, so that it may have been started elsewhere.
            machine.unwanted[key] = None
            return
        job = tables.jobs.get(name)
        if job is None or index >= job.spec.tasks or job.progress.done >> index & 1:
            machine.unwanted[key] = None
            return
        if self.placed.get(name, 0) >> index & 1 or not job.progress.claimed() >> index & 1:
            # Stored claims say that it cannot be here; stop it rather than trust it.
            machine.unwanted[key] = None
            return
        attempt = Attempt(name, index, key[1], job.spec, item.state, seen=True, placed_at=now)
        if item.state == RUNNING:
            attempt.running_at = now
        self._put(machine, attempt)
        mask = self.limbo.get(name, 0) & ~(1 << index)
        if mask:
            self.limbo[name] = mask
        else:
            self.limbo.pop(name, None)
        self.adopting[name] = self.adopting.get(name, 0) | 1 << index
        heard.adopt.append(task)

    # -- orders

    def orders(self, machine: Machine, tables: Tables, serial: int | None) -> list[WorkerCommand]:
        """What to tell the machine. `serial`: of the heartbeat that is answered; None for a direct command,
        which carries no start, since it could be carried out minutes late."""
        orders = []
        for key, completed in machine.exited.items():
            if (not completed or self._stored_done(tables, key[0])) and serial is not None:
                orders.append(WorkerCommand("clear", key[0], key[1]))
        for key in machine.unwanted:
            orders.append(WorkerCommand("kill", key[0], key[1], 0.0))
        for attempt in machine.attempts.values():
            if attempt.kill_grace_s is not None:
                orders.append(WorkerCommand("kill", attempt.name, attempt.number, attempt.kill_grace_s))
            elif not attempt.seen and serial is not None and machine.reached:
                attempt.sent_serial = serial
                orders.append(WorkerCommand("start", attempt.name, attempt.number))
        return orders

    @staticmethod
    def _stored_done(tables: Tables, name: str) -> bool:
        job, index = split_task(name)
        record = tables.jobs.get(job)
        return record is None or record.status != LIVE or bool(record.progress.done >> index & 1)

    def kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> bool:
        """Marks an attempt to be stopped. True when the machine must be told."""
        if attempt.sent_serial is None and not attempt.seen:
            self.drop(machine, attempt)
            return False
        if attempt.kill_grace_s is None or grace_s < attempt.kill_grace_s:
            attempt.kill_grace_s = grace_s
            return True
        return False

    # -- room

    @staticmethod
    def free_cores(machine: Machine, kind: MachineType) -> float:
        """Nothing while unwanted tasks are on it: of unknown size, they will be gone soon."""
        return 0.0 if machine.unwanted else kind.cores - machine.use.cores

    def room(self, machine: Machine, kind: MachineType) -> FreeCapacity:
        images = {*machine.images, *machine.fetched}
        return FreeCapacity(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            self.free_cores(machine, kind),
            kind.gpus - machine.use.gpus,
            kind.memory - machine.memory,
            images,
        )

    def usable(self, machine: Machine) -> bool:
        return (
            machine.heard
            and machine.reached
            and not machine.draining
            and not machine.spared
            and machine.notice_s is None
        )
