"""The machines that one controller owns, and the attempts that are or may be on them.

These ownership rules prevent a task from running twice (the rules for reports are in `core.reconciliation`):
- A machine is *reconciled* once a report was applied whose fencing token was issued under the present ownership.
- The tasks of a silent machine count as running until its lease has certainly expired or the machine is deleted.
- Tasks on a machine that moved to another owner are not started elsewhere until that owner has settled them.

Usage totals are updated whenever an attempt is added or removed, so that a report of an unchanged machine costs only
look-ups. The machines actor owns the controller's registry. Only this actor and its helpers change it; the autoscaler
reads it and sets only `Machine.surplus`.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

from sloeswitch.core.machine import Attempt, Machine, TaskId
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from sloeswitch.core.tables import Tables
from sloeswitch.wire import MAX_TASKS_ON_MACHINE, MachineType, split_task


def _add_task(tasks: dict[str, int], task: TaskId) -> None:
    """Adds a task to the task sets by job."""
    tasks[task.job] = tasks.get(task.job, 0) | 1 << task.task_index


def _discard_task(tasks: dict[str, int], task: TaskId) -> None:
    """Removes a task from the task sets by job, and the job's entry when its set becomes empty."""
    remaining = tasks.get(task.job, 0) & ~(1 << task.task_index)
    if remaining:
        tasks[task.job] = remaining
    else:
        tasks.pop(task.job, None)


def _merge_tasks(first: Mapping[str, int], second: Mapping[str, int]) -> dict[str, int]:
    """The union of two mappings of task sets by job."""
    return {job: first.get(job, 0) | second.get(job, 0) for job in {**first, **second}}


def _common_tasks(first: Mapping[str, int], second: Mapping[str, int]) -> dict[str, int]:
    """The intersection of two mappings of task sets by job."""
    return {job: common for job, tasks in first.items() if (common := tasks & second.get(job, 0))}


def _unstored_tasks(tables: Tables, incarnation_id: str, job: str, tasks: int) -> int:
    """The subset of a job's tasks that are stored neither as done nor as claimed by the incarnation.

    Empty for a job that has finished or is unknown.
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

    Sets of tasks are bit sets (`core.taskset`) by job.

    Attributes:
        machines: The machines by name.
        placed_tasks: Tasks with an attempt on one of the machines.
        team_usage: The usage of each team's attempts.
        handed_off_tasks: Tasks of this controller on machines that moved to another owner. They are not started
            elsewhere until that owner has settled them.
        adopting: Tasks found on machines that were taken over, whose adoption may not be stored yet.
        found_completions: Tasks that had already completed on machines that were taken over. Other controllers may
            not know of these completions yet.
        released_machines: Names of machines that this incarnation has owned and that now have another owner.
    """

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.placed_tasks: dict[str, int] = {}
        self.team_usage: dict[str, ResourceUsage] = {}
        self.handed_off_tasks: dict[str, int] = {}
        self.adopting: dict[str, int] = {}
        self.found_completions: dict[str, int] = {}
        self.released_machines: set[str] = set()

    # -- ownership

    def reset(self) -> None:
        """Clears the registry for a new incarnation of the controller, which owns no machines yet."""
        self.machines = {}
        self.placed_tasks = {}
        self.team_usage = {}
        self.handed_off_tasks = {}
        self.adopting = {}
        self.found_completions = {}
        self.released_machines = set()

    def add_machine(self, machine: Machine) -> Machine:
        """Adds a machine that this controller owns since its `owned_since_token`."""
        self.machines[machine.name] = machine
        machine.formerly_owned = machine.name in self.released_machines
        self.released_machines.discard(machine.name)
        return machine

    def mark_unreconciled(self, machine: Machine, token: int, lease_expires_at: float) -> None:
        """Requires a new report of a machine that may have had another owner in the meantime.

        Its attempts count as handed off until then.
        """
        self._hand_off_attempts(machine)
        machine.formerly_owned = True
        machine.owned_since_token = token
        machine.reconciled = machine.accounted_for = False
        machine.last_heartbeat_at = None
        machine.report_sequence = machine.agent_epoch = 0
        machine.lease_expires_at = lease_expires_at
        machine.ended_attempts.clear()
        machine.foreign_attempts.clear()

    def release_machine(self, name: str) -> None:
        """Removes a machine that another controller now owns."""
        machine = self.machines.pop(name)
        self.released_machines.add(name)
        self._hand_off_attempts(machine)

    def _hand_off_attempts(self, machine: Machine) -> None:
        for attempt in list(machine.attempts.values()):
            _add_task(self.handed_off_tasks, attempt.task)
            self.remove_attempt(machine, attempt)

    def is_recovered(self, tables: Tables, incarnation_id: str, unstorable_jobs: Set[str] = frozenset()) -> bool:
        """Whether all machines are reconciled or accounted for, and all adoptions and completions found are settled.

        Adoptions have to be stored (see `adoptions_stored`); for completions see `unsettled_completions`. Clears both
        sets when it returns True.
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
        """Whether every task adopted so far is stored as this controller's claim or as done."""
        return not self.unstored_adoptions(tables, incarnation_id)

    def unstored_adoptions(self, tables: Tables, incarnation_id: str) -> dict[str, int]:
        """Adopted tasks, by job, that are stored neither as this controller's claims nor as done."""
        return {
            job: tasks
            for job, adopted in self.adopting.items()
            if (tasks := _unstored_tasks(tables, incarnation_id, job, adopted))
        }

    def unsettled_completions(
        self, tables: Tables, incarnation_id: str, unstorable_jobs: Set[str] = frozenset()
    ) -> dict[str, int]:
        """Completions found on machines that were taken over, whose tasks an earlier owner may still claim.

        When recovery of the view completes, such a claim may become void, and the task would be started again. A
        completion is settled when it is stored, or when this controller claims the task, because recovery does not void
        that claim. It needs no settling if its job has finished or is unknown or cancelled, because then no controller
        starts the task.

        Args:
            tables: The replicated tables.
            incarnation_id: This controller's incarnation.
            unstorable_jobs: Jobs whose progress is too large for a row. They are ignored: their completions could never
                be stored, and the view would never be recovered.
        """
        return {
            job: tasks
            for job, found in self.found_completions.items()
            if job not in unstorable_jobs
            and not _is_cancelled(tables, job)
            and (tasks := _unstored_tasks(tables, incarnation_id, job, found))
        }

    def pending_adoptions(self) -> dict[str, int]:
        """Adoptions not known to be stored, of tasks that this controller's machines still hold or list as done.

        An adopted task that has completed since moves to `found_completions`. Discards the adoptions of all other
        tasks.
        """
        listed = self._listed_completions()
        found = _merge_tasks(self.adopting, self.found_completions)
        self.adopting = _common_tasks(self.adopting, self.placed_tasks)
        self.found_completions = _common_tasks(found, listed)
        return _merge_tasks(self.adopting, self.found_completions)

    def _listed_completions(self) -> dict[str, int]:
        """Completed tasks, by job, that the machines still list."""
        listed: dict[str, int] = {}
        for machine in self.machines.values():
            for key, is_completion in machine.ended_attempts.items():
                if is_completion:
                    _add_task(listed, TaskId(*split_task(key.task)))
        return listed

    def prune_handed_off(self, tables: Tables, incarnation_id: str) -> None:
        """Drops handed-off tasks that this controller no longer claims.

        The machine's new owner has adopted them or found them done, so they no longer count towards this controller's
        quota.
        """
        for name in list(self.handed_off_tasks):
            job = tables.jobs.get(name)
            claimed = job.progress.claims.get(incarnation_id, 0) if job is not None else 0
            remaining = self.handed_off_tasks[name] & claimed
            if remaining:
                self.handed_off_tasks[name] = remaining
            else:
                del self.handed_off_tasks[name]

    def settle_handed_off(self) -> None:
        """Clears the handed-off tasks; called once all members have recovered and the new owners account for them."""
        self.handed_off_tasks.clear()
        self.released_machines.clear()

    # -- attempts

    def add_attempt(self, machine: Machine, attempt: Attempt) -> None:
        """Places an attempt on a machine and adds its usage to the totals."""
        spec = attempt.spec
        machine.attempts[attempt.task] = machine.attempts_by_key[attempt.key] = attempt
        machine.usage.add(spec)
        machine.used_memory_gb += spec.memory
        machine.image_attempts[spec.image] = machine.image_attempts.get(spec.image, 0) + 1
        self.team_usage.setdefault(spec.team, ResourceUsage()).add(spec)
        _add_task(self.placed_tasks, attempt.task)

    def adopt_attempt(self, machine: Machine, attempt: Attempt) -> None:
        """Adds an attempt that an earlier owner of the machine started."""
        self.add_attempt(machine, attempt)
        _discard_task(self.handed_off_tasks, attempt.task)
        _add_task(self.adopting, attempt.task)

    def adopt_completion(self, task: TaskId) -> None:
        """Records the completion of a task that an earlier owner of its machine started and still claims."""
        _discard_task(self.handed_off_tasks, task)
        _add_task(self.found_completions, task)

    def remove_attempt(self, machine: Machine, attempt: Attempt) -> None:
        """Removes an attempt; does nothing if it is no longer on the machine."""
        if machine.attempts.get(attempt.task) is not attempt:
            return
        spec = attempt.spec
        del machine.attempts[attempt.task], machine.attempts_by_key[attempt.key]
        machine.usage.add(spec, -1)
        machine.used_memory_gb -= spec.memory
        if not machine.attempts:
            machine.usage, machine.used_memory_gb = ResourceUsage(), 0.0  # discards accumulated rounding errors
        machine.image_attempts[spec.image] -= 1
        if not machine.image_attempts[spec.image]:
            del machine.image_attempts[spec.image]
        self.team_usage[spec.team].add(spec, -1)
        _discard_task(self.placed_tasks, attempt.task)
        if not self.placed_tasks:
            self.team_usage.clear()

    def fail_machine(self, machine: Machine) -> list[TaskId]:
        """Removes all attempts of a machine that certainly runs none any more; returns their tasks."""
        lost = list(machine.attempts)
        for attempt in list(machine.attempts.values()):
            self.remove_attempt(machine, attempt)
        machine.ended_attempts.clear()
        machine.foreign_attempts.clear()
        machine.accounted_for = True
        machine.reconciled = machine.reachable = False
        return lost

    def expire_lease(self, machine: Machine) -> list[TaskId]:
        """Removes all attempts of a machine whose lease has certainly expired; returns their tasks.

        Reports of the expired agent epoch are ignored from now on. A delayed one may carry a sequence number that was
        not seen before, and would restore the removed attempts.
        """
        machine.expired_agent_epoch = max(machine.expired_agent_epoch, machine.agent_epoch)
        return self.fail_machine(machine)

    def remove_unsent(self, machine: Machine) -> int:
        """Removes the attempts that were placed on a machine but never sent to it; returns their number."""
        unsent = [a for a in machine.attempts.values() if a.sent_sequence is None and not a.reported]
        for attempt in unsent:
            self.remove_attempt(machine, attempt)
        return len(unsent)

    def busy_tasks(self, job: str) -> int:
        """The set of the job's tasks that are on this controller's machines, or may be on machines it handed off."""
        return self.placed_tasks.get(job, 0) | self.handed_off_tasks.get(job, 0)

    def unplaced_tasks(self, job: str, claimed: int, excluded: int) -> int:
        """The set of claimed tasks that may be placed: all but those that are excluded or busy (see `busy_tasks`).

        Args:
            job: The job's id.
            claimed: The set of the job's tasks that this controller claims.
            excluded: The set of its tasks that must not be placed: completed tasks, and tasks being released.
        """
        return claimed & ~excluded & ~self.busy_tasks(job)

    # -- stopping attempts

    def mark_for_kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> bool:
        """Marks an attempt to be killed, or removes it if it was never sent.

        Returns:
            Whether a kill command must be sent.
        """
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
        """Unused cores; 0 while the machine has foreign attempts, whose size is unknown and which end soon."""
        return 0.0 if machine.foreign_attempts else machine_type.cores - machine.usage.cores

    def free_capacity(self, machine: Machine, machine_type: MachineType) -> FreeCapacity:
        """The machine's free capacity, for use by placement."""
        return FreeCapacity(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            self.free_cores(machine, machine_type),
            machine_type.gpus - machine.usage.gpus,
            machine_type.memory - machine.used_memory_gb,
            {*machine.images, *machine.image_attempts},
            task_slots=MAX_TASKS_ON_MACHINE - machine.listed_attempts,
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
