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

from sloeswitch.core.machine import ENDED, FETCHING, RUNNING, TASK_STATES, Attempt, Machine, Task
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from sloeswitch.core.records import JobState
from sloeswitch.core.tables import Tables
from sloeswitch.wire import (
    JobSpec,
    MachineType,
    MalformedError,
    ReportedTask,
    WorkerCommand,
    WorkerReport,
    split_task,
)


@dataclass
class ReconcileResult:
    """What a report brought to light."""

    accepted: bool = False
    done: list[tuple[Task, str]] = field(default_factory=list)
    failed: list[tuple[Task, str]] = field(default_factory=list)
    adopted: list[Task] = field(default_factory=list)
    capacity_freed: bool = False


class MachineRegistry:
    """All machines that this controller owns under the present view."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.placed_tasks: dict[str, int] = {}
        # What the attempts of each team use.
        self.team_usage: dict[str, ResourceUsage] = {}
        # Tasks of ours that were on machines which moved to another owner; nowhere else until settled.
        self.handed_off_tasks: dict[str, int] = {}
        self.adopting: dict[str, int] = {}

    # -- ownership

    def reset(self) -> None:
        """A new run of the controller owns nothing yet."""
        self.__init__()  # type: ignore[misc]

    def add_machine(
        self, name: str, address: str, kind: str, zone: str, spot: bool, token: int, gone_at: float
    ) -> Machine:
        """A machine that is ours from this view on."""
        machine = Machine(name, address, kind, zone, spot, owned_since_token=token, lease_expires_at=gone_at)
        self.machines[name] = machine
        return machine

    def mark_unreconciled(self, machine: Machine, token: int, gone_at: float) -> None:
        """The machine may have had another owner in between: what is on it must be heard again."""
        self._hand_off_attempts(machine)
        machine.owned_since_token = token
        machine.reconciled = machine.accounted_for = False
        machine.reported_at = None
        machine.report_sequence = machine.agent_epoch = 0
        machine.lease_expires_at = gone_at
        machine.ended_attempts.clear()
        machine.foreign_attempts.clear()

    def release_machine(self, name: str) -> None:
        machine = self.machines.pop(name)
        self._hand_off_attempts(machine)

    def _hand_off_attempts(self, machine: Machine) -> None:
        for attempt in list(machine.attempts.values()):
            self.handed_off_tasks[attempt.job] = self.handed_off_tasks.get(attempt.job, 0) | 1 << attempt.index
            self.remove_attempt(machine, attempt)

    def is_recovered(self, tables: Tables, tag: str) -> bool:
        """Whether everything of the present view is heard or accounted for, and adoptions are stored."""
        for machine in self.machines.values():
            if not machine.is_recovered:
                return False
        for job, mask in self.adopting.items():
            record = tables.jobs.get(job)
            if record is not None and mask & ~record.progress.done & ~record.progress.claims.get(tag, 0):
                return False
        self.adopting.clear()
        return True

    def pending_adoptions(self) -> dict[str, int]:
        """Adoptions not yet known to be stored, of tasks that are still on our machines."""
        kept = {job: mask & self.placed_tasks.get(job, 0) for job, mask in self.adopting.items()}
        self.adopting = {job: mask for job, mask in kept.items() if mask}
        return self.adopting

    def prune_handed_off(self, tables: Tables, tag: str) -> None:
        """Tasks that a new owner adopted or saw done are out of our hands, their allowance too."""
        for name in list(self.handed_off_tasks):
            job = tables.jobs.get(name)
            mask = self.handed_off_tasks[name] & job.progress.claims.get(tag, 0) if job is not None else 0
            if mask:
                self.handed_off_tasks[name] = mask
            else:
                del self.handed_off_tasks[name]

    # -- attempts

    def add_attempt(self, machine: Machine, job: str, index: int, number: int, spec: JobSpec, now: float) -> None:
        self._insert_attempt(machine, Attempt(job, index, number, spec, placed_at=now))

    def _insert_attempt(self, machine: Machine, attempt: Attempt) -> None:
        spec = attempt.spec
        machine.attempts[attempt.task] = machine.attempts_by_key[attempt.key] = attempt
        machine.usage.add(spec)
        machine.memory += spec.memory
        machine.image_attempts[spec.image] = machine.image_attempts.get(spec.image, 0) + 1
        self.team_usage.setdefault(spec.team, ResourceUsage()).add(spec)
        self.placed_tasks[attempt.job] = self.placed_tasks.get(attempt.job, 0) | 1 << attempt.index

    def remove_attempt(self, machine: Machine, attempt: Attempt) -> None:
        if machine.attempts.get(attempt.task) is not attempt:
            return
        spec = attempt.spec
        del machine.attempts[attempt.task], machine.attempts_by_key[attempt.key]
        machine.usage.add(spec, -1)
        machine.memory -= spec.memory
        if not machine.attempts:
            machine.usage, machine.memory = ResourceUsage(), 0.0  # so that rounding does not add up
        machine.image_attempts[spec.image] -= 1
        if not machine.image_attempts[spec.image]:
            del machine.image_attempts[spec.image]
        self.team_usage[spec.team].add(spec, -1)
        mask = self.placed_tasks.get(attempt.job, 0) & ~(1 << attempt.index)
        if mask:
            self.placed_tasks[attempt.job] = mask
        else:
            self.placed_tasks.pop(attempt.job, None)
        if not self.placed_tasks:
            self.team_usage.clear()

    def fail_machine(self, machine: Machine) -> list[Task]:
        """All that was on the machine is gone for certain."""
        lost = list(machine.attempts)
        for attempt in list(machine.attempts.values()):
            self.remove_attempt(machine, attempt)
        machine.ended_attempts.clear()
        machine.foreign_attempts.clear()
        machine.accounted_for = True
        machine.reconciled = machine.reachable = False
        return lost

    def expire_lease(self, machine: Machine) -> list[Task]:
        """The machine's lease is surely over. Guards against reports of that session which were held up on
        the way: they may come with numbers never seen before, and would bring its tasks back to life."""
        machine.expired_agent_epoch = max(machine.expired_agent_epoch, machine.agent_epoch)
        return self.fail_machine(machine)

    def remove_unsent(self, machine: Machine) -> int:
        """Takes back what was placed on a machine and never sent there."""
        unsent = [a for a in machine.attempts.values() if a.sent_sequence is None and not a.reported]
        for attempt in unsent:
            self.remove_attempt(machine, attempt)
        return len(unsent)

    def busy_tasks(self, job: str) -> int:
        """Tasks of the job that are, or may be, somewhere under this controller's responsibility."""
        return self.placed_tasks.get(job, 0) | self.handed_off_tasks.get(job, 0)

    def unplaced_tasks(self, job: str, claimed: int, done: int) -> int:
        """Tasks claimed by this controller that are nowhere: handed back, or not yet placed."""
        return claimed & ~done & ~self.busy_tasks(job)

    # -- reports

    def reconcile(
        self, machine: Machine, report: WorkerReport, heartbeat: bool, now: float, token: int, tables: Tables
    ) -> ReconcileResult:
        heard = ReconcileResult()
        if self.is_outdated(machine, report):
            return heard  # something newer is known
        if not machine.owned_since_token <= report.fencing_token <= token:
            return heard  # not yet fenced: an earlier owner's answer may still act
        renewed = report.agent_epoch > machine.agent_epoch > 0
        ours = {} if renewed else machine.attempts_by_key
        exited = {} if renewed else machine.ended_attempts
        same = 0
        changed: list[tuple[Attempt, ReportedTask]] = []
        kept: set[tuple[str, int]] = set()
        foreign: list[tuple[Task, ReportedTask]] = []
        for item in report.tasks:
            key = (item.task, item.attempt)
            attempt = ours.get(key)
            if attempt is not None and attempt.reported and item.state == attempt.state:
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
        heard.accepted = True
        if renewed:
            self.fail_machine(machine)
            heard.capacity_freed = True
        first = not machine.is_recovered
        machine.agent_epoch, machine.report_sequence = report.agent_epoch, report.sequence
        machine.reconciled, machine.accounted_for = True, True
        machine.last_heard_at = now
        if heartbeat or machine.reported_at is None:
            machine.reported_at = now
        machine.preemption_notice_s = report.preemption_notice_s
        machine.address = report.address
        if same != len(machine.attempts):
            for attempt in list(machine.attempts.values()):
                if attempt.key not in kept:
                    self._reconcile_missing(machine, attempt, heartbeat, report.sequence, heard)
            for attempt, item in changed:
                self._reconcile_known(machine, attempt, item.state, item.cause, now, heard)
        if machine.ended_attempts:
            for key in [key for key in machine.ended_attempts if key not in kept]:
                del machine.ended_attempts[key]
        if machine.cancelled_since is not None and all(a.kill_grace_s is None for a in machine.attempts.values()):
            machine.cancelled_since = None
        machine.foreign_attempts.clear()
        for task, item in foreign:
            self._reconcile_foreign(machine, task, item, first, tables, heard, now)
        return heard

    @staticmethod
    def is_outdated(machine: Machine, report: WorkerReport) -> bool:
        """Whether something newer is known than what the report says, or its session is over."""
        return report.agent_epoch <= machine.expired_agent_epoch or (report.agent_epoch, report.sequence) <= (
            machine.agent_epoch,
            machine.report_sequence,
        )

    def _reconcile_missing(
        self, machine: Machine, attempt: Attempt, heartbeat: bool, serial: int, heard: ReconcileResult
    ) -> None:
        """An attempt that a report lacks."""
        if attempt.reported:
            self.remove_attempt(machine, attempt)
            heard.capacity_freed = True
        elif heartbeat and attempt.sent_sequence is not None and serial > attempt.sent_sequence:
            attempt.sent_sequence = None  # the answer that carried it was dropped: tell it again
            if attempt.kill_grace_s is not None:
                self.remove_attempt(machine, attempt)

    def _reconcile_known(
        self, machine: Machine, attempt: Attempt, state: str, cause: str | None, now: float, heard: ReconcileResult
    ) -> None:
        attempt.reported = True
        attempt.state = state
        if state == RUNNING and attempt.running_at is None:
            attempt.running_at = now
        if state != FETCHING:
            machine.images.pop(attempt.spec.image, None)
            machine.images[attempt.spec.image] = None
        if state != ENDED:
            return
        self.remove_attempt(machine, attempt)
        heard.capacity_freed = True
        self._record_ended(machine, attempt.key, attempt.task, cause, heard)

    def _record_ended(
        self, machine: Machine, key: tuple[str, int], task: Task, cause: str | None, heard: ReconcileResult
    ) -> None:
        machine.ended_attempts[key] = cause == "done"
        if cause == "done":
            heard.done.append((task, machine.name))
        elif cause in ("error", "no_such"):
            heard.failed.append((task, machine.name))

    def _reconcile_foreign(
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
            self._record_ended(machine, key, task, item.cause, heard)
            return
        if not first:
            # Its place was accounted for without it, so that it may have been started elsewhere.
            machine.foreign_attempts[key] = None
            return
        job = tables.jobs.get(name)
        if job is None or index >= job.spec.tasks or job.progress.done >> index & 1:
            machine.foreign_attempts[key] = None
            return
        if self.placed_tasks.get(name, 0) >> index & 1 or not job.progress.claimed_tasks() >> index & 1:
            # Stored claims say that it cannot be here; stop it rather than trust it.
            machine.foreign_attempts[key] = None
            return
        attempt = Attempt(name, index, key[1], job.spec, item.state, reported=True, placed_at=now)
        if item.state == RUNNING:
            attempt.running_at = now
        self._insert_attempt(machine, attempt)
        mask = self.handed_off_tasks.get(name, 0) & ~(1 << index)
        if mask:
            self.handed_off_tasks[name] = mask
        else:
            self.handed_off_tasks.pop(name, None)
        self.adopting[name] = self.adopting.get(name, 0) | 1 << index
        heard.adopted.append(task)

    # -- orders

    def commands(self, machine: Machine, tables: Tables, serial: int | None) -> list[WorkerCommand]:
        """What to tell the machine. `serial`: of the heartbeat that is answered; None for a direct command,
        which carries no start, since it could be carried out minutes late."""
        orders = []
        for key, completed in machine.ended_attempts.items():
            if (not completed or self._stored_done(tables, key[0])) and serial is not None:
                orders.append(WorkerCommand("clear", key[0], key[1]))
        for key in machine.foreign_attempts:
            orders.append(WorkerCommand("kill", key[0], key[1], 0.0))
        for attempt in machine.attempts.values():
            if attempt.kill_grace_s is not None:
                orders.append(WorkerCommand("kill", attempt.name, attempt.number, attempt.kill_grace_s))
            elif not attempt.reported and serial is not None and machine.reachable:
                attempt.sent_sequence = serial
                orders.append(WorkerCommand("start", attempt.name, attempt.number))
        return orders

    @staticmethod
    def _stored_done(tables: Tables, name: str) -> bool:
        job, index = split_task(name)
        record = tables.jobs.get(job)
        return record is None or record.status != JobState.LIVE or bool(record.progress.done >> index & 1)

    def mark_for_kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> bool:
        """Marks an attempt to be stopped. True when the machine must be told."""
        if attempt.sent_sequence is None and not attempt.reported:
            self.remove_attempt(machine, attempt)
            return False
        if attempt.kill_grace_s is None or grace_s < attempt.kill_grace_s:
            attempt.kill_grace_s = grace_s
            return True
        return False

    # -- room

    @staticmethod
    def free_cores(machine: Machine, kind: MachineType) -> float:
        """Nothing while unwanted tasks are on it: of unknown size, they will be gone soon."""
        return 0.0 if machine.foreign_attempts else kind.cores - machine.usage.cores

    def free_capacity(self, machine: Machine, kind: MachineType) -> FreeCapacity:
        images = {*machine.images, *machine.image_attempts}
        return FreeCapacity(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            self.free_cores(machine, kind),
            kind.gpus - machine.usage.gpus,
            kind.memory - machine.memory,
            images,
        )

    def is_schedulable(self, machine: Machine) -> bool:
        return (
            machine.reconciled
            and machine.reachable
            and not machine.draining
            and not machine.surplus
            and machine.preemption_notice_s is None
        )
