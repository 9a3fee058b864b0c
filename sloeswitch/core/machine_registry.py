"""The machines that one controller owns, and the attempts that are or may be on them.

The rules that keep a task from running twice, as far as ownership goes (for reports see `core.reconciliation`):
- a machine is *reconciled* once it reported under the present view's token;
- a silent machine's tasks count as existing until its lease is surely over or it is deleted;
- tasks on a machine that moved to another owner are nowhere else until that owner has settled them.

Sums of what attempts use are kept up as attempts come and go, so that a report of a machine on which nothing has
changed costs nothing but look-ups. The machines actor owns the one registry of a controller and is the only one that
changes it; its helpers and the autoscaler read it.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

from sloeswitch.core.machine import Attempt, AttemptKey, Machine, TaskId
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from sloeswitch.core.records import JobState
from sloeswitch.core.tables import Tables
from sloeswitch.wire import CommandVerb, MachineType, WorkerCommand, split_task


def _add_task(tasks: dict[str, int], task: TaskId) -> None:
    """Adds a task to sets of tasks by job."""
    tasks[task.job] = tasks.get(task.job, 0) | 1 << task.task_index


def _discard_task(tasks: dict[str, int], task: TaskId) -> None:
    """Takes a task out of sets of tasks by job, and the job with its last task."""
    remaining = tasks.get(task.job, 0) & ~(1 << task.task_index)
    if remaining:
        tasks[task.job] = remaining
    else:
        tasks.pop(task.job, None)


def _merge_tasks(first: Mapping[str, int], second: Mapping[str, int]) -> dict[str, int]:
    """The tasks in either of two sets by job."""
    return {job: first.get(job, 0) | second.get(job, 0) for job in {**first, **second}}


def _common_tasks(first: Mapping[str, int], second: Mapping[str, int]) -> dict[str, int]:
    """The tasks in both of two sets by job."""
    return {job: common for job, tasks in first.items() if (common := tasks & second.get(job, 0))}


def _unstored_tasks(tables: Tables, incarnation_id: str, job: str, tasks: int) -> int:
    """Those of a job's tasks that are stored neither as done nor as the incarnation's claims.

    There are none of a job that is over or unknown.
    """
    record = tables.jobs.get(job)
    if record is None:
        return 0
    return tasks & ~record.progress.done & ~record.progress.claims.get(incarnation_id, 0)


def _is_cancelled(tables: Tables, job: str) -> bool:
    record = tables.jobs.get(job)
    return record is not None and record.is_cancelled


class MachineRegistry:
    """All machines that this controller owns under the present view.

    Attributes:
        machines: By name.
        placed_tasks: Tasks with an attempt on a machine, as sets of tasks (`core.taskset`) by job.
        team_usage: What the attempts of each team use.
        handed_off_tasks: Tasks of ours that were on machines which moved to another owner; nowhere else until they
            are settled.
        adopting: Tasks found on machines that were taken over, whose adoption may not be stored yet.
        found_completions: The same of tasks that had completed there, of which other controllers may not know.
        released: Machines that this incarnation has owned and that have another owner now, by name.
    """

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.placed_tasks: dict[str, int] = {}
        self.team_usage: dict[str, ResourceUsage] = {}
        self.handed_off_tasks: dict[str, int] = {}
        self.adopting: dict[str, int] = {}
        self.found_completions: dict[str, int] = {}
        self.released: set[str] = set()

    # -- ownership

    def reset(self) -> None:
        """Forgets everything: a new incarnation of the controller owns nothing yet."""
        self.machines = {}
        self.placed_tasks = {}
        self.team_usage = {}
        self.handed_off_tasks = {}
        self.adopting = {}
        self.found_completions = {}
        self.released = set()

    def add_machine(self, machine: Machine) -> Machine:
        """Takes in a machine that is ours from its `owned_since_token` on."""
        self.machines[machine.name] = machine
        machine.formerly_owned = machine.name in self.released
        self.released.discard(machine.name)
        return machine

    def mark_unreconciled(self, machine: Machine, token: int, lease_expires_at: float) -> None:
        """The machine may have had another owner in between: what is on it must be reported again."""
        self._hand_off_attempts(machine)
        machine.formerly_owned = True
        machine.owned_since_token = token
        machine.reconciled = machine.accounted_for = False
        machine.reported_at = None
        machine.report_sequence = machine.agent_epoch = 0
        machine.lease_expires_at = lease_expires_at
        machine.ended_attempts.clear()
        machine.foreign_attempts.clear()

    def release_machine(self, name: str) -> None:
        """The machine has another owner from now on."""
        machine = self.machines.pop(name)
        self.released.add(name)
        self._hand_off_attempts(machine)

    def _hand_off_attempts(self, machine: Machine) -> None:
        for attempt in list(machine.attempts.values()):
            _add_task(self.handed_off_tasks, attempt.task)
            self.remove_attempt(machine, attempt)

    def is_recovered(self, tables: Tables, incarnation_id: str, unstorable_jobs: Set[str] = frozenset()) -> bool:
        """Whether all machines of the present view are reconciled or accounted for, and what was found is stored.

        That is: adopted tasks, and completions that other controllers may not know of (see `unsettled_completions`).
        """
        for machine in self.machines.values():
            if not machine.is_recovered:
                return False
        if not self.adoptions_stored(tables, incarnation_id):
            return False
        if self.unsettled_completions(tables, incarnation_id, unstorable_jobs):
            return False
        self.adopting.clear()
        self.found_completions.clear()
        return True

    def adoptions_stored(self, tables: Tables, incarnation_id: str) -> bool:
        """Whether all tasks that were adopted so far are stored as this controller's claims, or done."""
        return not self.unstored_adoptions(tables, incarnation_id)

    def unstored_adoptions(self, tables: Tables, incarnation_id: str) -> dict[str, int]:
        """Adopted tasks that are stored neither as this controller's claims nor as done, as sets of tasks by job."""
        return {
            job: tasks
            for job, adopted in self.adopting.items()
            if (tasks := _unstored_tasks(tables, incarnation_id, job, adopted))
        }

    def unsettled_completions(
        self, tables: Tables, incarnation_id: str, unstorable_jobs: Set[str] = frozenset()
    ) -> dict[str, int]:
        """Completions found with machines that were taken over, and still claimed by whoever started the tasks.

        Once the view is recovered such a claim may be void, and the task would be started once more. A completion is
        settled when it is stored, or when its task is this controller's claim, which no recovery voids. It is void when
        its job is over, unknown or cancelled, so that nobody starts the task.

        Args:
            tables: The replicated tables.
            incarnation_id: This controller's incarnation.
            unstorable_jobs: Jobs whose progress has no place in a row. Guards against a view that is never recovered.
        """
        return {
            job: tasks
            for job, found in self.found_completions.items()
            if job not in unstorable_jobs
            and not _is_cancelled(tables, job)
            and (tasks := _unstored_tasks(tables, incarnation_id, job, found))
        }

    def pending_adoptions(self) -> dict[str, int]:
        """Adoptions not yet known to be stored, of tasks that are still on our machines or are listed there as done."""
        listed = self._listed_completions()
        found = _merge_tasks(self.adopting, self.found_completions)
        self.adopting = _common_tasks(self.adopting, self.placed_tasks)
        self.found_completions = _common_tasks(found, listed)
        return _merge_tasks(self.adopting, self.found_completions)

    def _listed_completions(self) -> dict[str, int]:
        """Completed tasks that our machines list, as sets of tasks by job."""
        listed: dict[str, int] = {}
        for machine in self.machines.values():
            for key, is_completion in machine.ended_attempts.items():
                if is_completion:
                    _add_task(listed, TaskId(*split_task(key.task)))
        return listed

    def prune_handed_off(self, tables: Tables, incarnation_id: str) -> None:
        """Drops tasks that a new owner adopted or saw done: ours no more, nor is their part of the quota."""
        for name in list(self.handed_off_tasks):
            job = tables.jobs.get(name)
            claimed = job.progress.claims.get(incarnation_id, 0) if job is not None else 0
            remaining = self.handed_off_tasks[name] & claimed
            if remaining:
                self.handed_off_tasks[name] = remaining
            else:
                del self.handed_off_tasks[name]

    def settle_handed_off(self) -> None:
        """All members have recovered: what was on machines that moved to other owners is accounted for there."""
        self.handed_off_tasks.clear()
        self.released.clear()

    # -- attempts

    def add_attempt(self, machine: Machine, attempt: Attempt) -> None:
        """Places an attempt on a machine, and counts what it uses."""
        spec = attempt.spec
        machine.attempts[attempt.task] = machine.attempts_by_key[attempt.key] = attempt
        machine.usage.add(spec)
        machine.used_memory_gb += spec.memory
        machine.image_attempts[spec.image] = machine.image_attempts.get(spec.image, 0) + 1
        self.team_usage.setdefault(spec.team, ResourceUsage()).add(spec)
        _add_task(self.placed_tasks, attempt.task)

    def adopt_attempt(self, machine: Machine, attempt: Attempt) -> None:
        """Takes in an attempt that an earlier owner of the machine started."""
        self.add_attempt(machine, attempt)
        _discard_task(self.handed_off_tasks, attempt.task)
        _add_task(self.adopting, attempt.task)

    def adopt_completion(self, task: TaskId) -> None:
        """Notes a completion of a task that an earlier owner of its machine started and still claims."""
        _discard_task(self.handed_off_tasks, task)
        _add_task(self.found_completions, task)

    def remove_attempt(self, machine: Machine, attempt: Attempt) -> None:
        """The attempt is gone; does nothing if it is not on the machine any more."""
        if machine.attempts.get(attempt.task) is not attempt:
            return
        spec = attempt.spec
        del machine.attempts[attempt.task], machine.attempts_by_key[attempt.key]
        machine.usage.add(spec, -1)
        machine.used_memory_gb -= spec.memory
        if not machine.attempts:
            machine.usage, machine.used_memory_gb = ResourceUsage(), 0.0  # so that rounding does not add up
        machine.image_attempts[spec.image] -= 1
        if not machine.image_attempts[spec.image]:
            del machine.image_attempts[spec.image]
        self.team_usage[spec.team].add(spec, -1)
        _discard_task(self.placed_tasks, attempt.task)
        if not self.placed_tasks:
            self.team_usage.clear()

    def fail_machine(self, machine: Machine) -> list[TaskId]:
        """All that was on the machine is gone for certain; returns the tasks that were."""
        lost = list(machine.attempts)
        for attempt in list(machine.attempts.values()):
            self.remove_attempt(machine, attempt)
        machine.ended_attempts.clear()
        machine.foreign_attempts.clear()
        machine.accounted_for = True
        machine.reconciled = machine.reachable = False
        return lost

    def expire_lease(self, machine: Machine) -> list[TaskId]:
        """The machine's lease is surely over; returns the tasks that are gone with it.

        Guards against reports of that agent epoch which were delayed on the way: they may come with sequences never
        seen before, and would bring its tasks back to life.
        """
        machine.expired_agent_epoch = max(machine.expired_agent_epoch, machine.agent_epoch)
        return self.fail_machine(machine)

    def remove_unsent(self, machine: Machine) -> int:
        """Takes back what was placed on a machine and never sent there; returns how many attempts."""
        unsent = [a for a in machine.attempts.values() if a.sent_sequence is None and not a.reported]
        for attempt in unsent:
            self.remove_attempt(machine, attempt)
        return len(unsent)

    def busy_tasks(self, job: str) -> int:
        """The set of the job's tasks that are, or may be, somewhere under this controller's responsibility."""
        return self.placed_tasks.get(job, 0) | self.handed_off_tasks.get(job, 0)

    def unplaced_tasks(self, job: str, claimed: int, done: int) -> int:
        """The set of tasks claimed by this controller that are nowhere: handed back, or not yet placed."""
        return claimed & ~done & ~self.busy_tasks(job)

    # -- commands

    def commands(self, machine: Machine, tables: Tables, heartbeat_sequence: int | None) -> list[WorkerCommand]:
        """The commands that the machine is to be sent; notes which starts go out.

        Args:
            machine: One of the registry's.
            tables: Completions are cleared on the worker only once they are stored here.
            heartbeat_sequence: Of the heartbeat that is answered. None for a direct command, which carries no start,
                since it could be carried out minutes late.
        """
        commands = []
        for key, is_completion in machine.ended_attempts.items():
            if (not is_completion or self._is_stored_done(tables, key)) and heartbeat_sequence is not None:
                commands.append(WorkerCommand(CommandVerb.CLEAR, key.task, key.number))
        for key in machine.foreign_attempts:
            commands.append(WorkerCommand(CommandVerb.KILL, key.task, key.number, 0.0))
        for attempt in machine.attempts.values():
            if attempt.kill_grace_s is not None:
                commands.append(WorkerCommand(CommandVerb.KILL, attempt.name, attempt.number, attempt.kill_grace_s))
            elif not attempt.reported and heartbeat_sequence is not None and machine.reachable:
                attempt.sent_sequence = heartbeat_sequence
                commands.append(WorkerCommand(CommandVerb.START, attempt.name, attempt.number))
        return commands

    @staticmethod
    def _is_stored_done(tables: Tables, key: AttemptKey) -> bool:
        """Whether the task's completion is stored, or its job needs none any more."""
        job, index = split_task(key.task)
        record = tables.jobs.get(job)
        return record is None or record.status != JobState.LIVE or bool(record.progress.done >> index & 1)

    def mark_for_kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> bool:
        """Marks an attempt to be stopped, or takes it back if it was never sent. True when it must be sent."""
        if attempt.sent_sequence is None and not attempt.reported:
            self.remove_attempt(machine, attempt)
            return False
        if attempt.kill_grace_s is None or grace_s < attempt.kill_grace_s:
            attempt.kill_grace_s = grace_s
            return True
        return False

    # -- free capacity

    @staticmethod
    def free_cores(machine: Machine, machine_type: MachineType) -> float:
        """Cores without an attempt; none while unwanted tasks are on the machine: of unknown size, they go soon."""
        return 0.0 if machine.foreign_attempts else machine_type.cores - machine.usage.cores

    def free_capacity(self, machine: Machine, machine_type: MachineType) -> FreeCapacity:
        """What is free on the machine, for placement to take from."""
        return FreeCapacity(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            self.free_cores(machine, machine_type),
            machine_type.gpus - machine.usage.gpus,
            machine_type.memory - machine.used_memory_gb,
            {*machine.images, *machine.image_attempts},
        )

    def is_schedulable(self, machine: Machine) -> bool:
        """Whether new attempts may be placed on the machine."""
        return (
            machine.reconciled
            and machine.reachable
            and not machine.draining
            and not machine.surplus
            and machine.preemption_notice_s is None
        )
