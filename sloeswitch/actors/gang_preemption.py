"""Room for gangs of one task that fit few machine types: tasks of lower priority stop, and the room is held."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core import placement, preemption, quota
from sloeswitch.core.machine_registry import Attempt, Machine
from sloeswitch.core.quota import fits_type
from sloeswitch.core.records import Job

log = logging.getLogger("machines")


class GangPreemption:
    """Owns the room that is held for gangs of one task."""

    def __init__(self, shard: ShardState, kill: Callable[[Machine, Attempt, float], None]) -> None:
        context = shard.context
        self.settings = context.settings
        self.tables = context.tables
        self.leadership = context.leadership
        self.registry = shard.registry
        self.health = shard.health
        self.quota = shard.quota
        self.queue = shard.queue
        self.tick_interval_s = shard.tick_interval_s
        self.kill = kill
        # Machines on which room was made for a job, each until when it is held for that.
        self.reservations: dict[str, tuple[str, float]] = {}

    def preempt_for_gangs(self, now: float) -> None:
        """Stops tasks of lower priority for a gang of one task that fits nowhere. The room is held for it until it
        is placed or a worker lease is over."""
        self._expire_reservations(now)
        if not self.queue.scarce_types:
            return
        order = preemption.QueueOrder.of(self.queue.jobs, self.registry.placed_tasks)
        rooms: dict[str, placement.FreeCapacity] | None = None
        for job in self._unplaced_gangs(now):
            if rooms is None:
                rooms = self._scarce_capacities()
            fitting = [
                (room, self.registry.machines[room.machine].attempts.values())
                for room in placement.eligible(job.spec.id, list(rooms.values()), self.reservations, self.health)
                if placement.satisfies_constraints(job.spec, room)
                and fits_type(job.spec, self.tables.machine_types[room.type])
            ]
            short = self.quota.shortfall(job.spec)
            at_limit = short.cores > 0 or short.gpus > 0
            chosen = preemption.plan_preemption(job, fitting, order, at_limit)
            if chosen is None:
                continue
            more = self._preempt_within_team(job, chosen, short, order) if at_limit else []
            if more is None:
                continue
            self.reservations[chosen.machine] = (job.spec.id, now + self.settings.lease_s)
            del rooms[chosen.machine]
            log.info("%s: %d tasks of lower priority stop on %s", job.spec.id, len(chosen.attempts), chosen.machine)
            if more:
                log.info("%s: %d more tasks of %s stop, which is at its limit", job.spec.id, len(more), job.spec.team)
            self._stop([*chosen.attempts, *more])

    def _preempt_within_team(
        self, job: Job, chosen: preemption.Preemption, short: quota.ResourceUsage, order: preemption.QueueOrder
    ) -> list[Attempt] | None:
        """The team's tasks on other machines that have to stop so that its limit has room for the gang; None when that
        is not to be had. Whatever stops counts until it is gone."""
        spec = job.spec
        for attempt in chosen.attempts:
            if attempt.spec.team == spec.team:
                short = quota.ResourceUsage(short.cores - attempt.spec.cores, short.gpus - attempt.spec.gpus)
        others = [
            attempt
            for machine in self.registry.machines.values()
            if machine.name != chosen.machine
            for attempt in machine.attempts.values()
            if attempt.spec.team == spec.team
        ]
        return preemption.victims_within_limit(spec, short, preemption.preemptible(job, others, order))

    def _stop(self, attempts: list[Attempt]) -> None:
        keys = {attempt.key for attempt in attempts}
        for machine in self.registry.machines.values():
            for attempt in list(machine.attempts.values()):
                if attempt.key in keys:
                    self.kill(machine, attempt, attempt.spec.save_s)

    def reserved_usage(self) -> dict[str, tuple[str, quota.ResourceUsage]]:
        """What gangs for which room is held, and which are not placed, want of their teams' limits: team and amounts.
        Guards against small tasks of the team that take one by one what was freed for a gang."""
        found: dict[str, tuple[str, quota.ResourceUsage]] = {}
        for holder, _until in self.reservations.values():
            job = self.tables.jobs.get(holder)
            if job is not None and not self.registry.placed_tasks.get(holder):
                found[holder] = (job.spec.team, quota.ResourceUsage(job.spec.cores, job.spec.gpus))
        return found

    def usage_with_reservations(self, job: Job) -> quota.ResourceUsage:
        """What the team uses or is reserved of its limit, for a job to be placed beside."""
        use = self.quota.usage(job.spec.team)
        for holder, (team, reserved) in self.reserved_usage().items():
            if team == job.spec.team and holder != job.spec.id:
                use = quota.ResourceUsage(use.cores + reserved.cores, use.gpus + reserved.gpus)
        return use

    def _expire_reservations(self, now: float) -> None:
        """Ends the holding of room whose job is placed, over or has waited long enough."""
        settled = self.tables.recovery_complete()
        for name, (holder, until) in list(self.reservations.items()):
            job = self.tables.jobs.get(holder)
            if now >= until or job is None or not job.is_runnable or not self.tables.unclaimed_tasks(job, settled):
                del self.reservations[name]

    def _unplaced_gangs(self, now: float) -> Iterator[Job]:
        """Gangs of one task that have waited for room for a while, in the order of the line. The controller at which
        a job's image is goes first, the others a report later each, so that they do not all make room for it.

        A claim of a run that is gone is none. Guards against a gang that was claimed when its controller ended: open to
        all, it counted as claimed here, and got no room for minutes (found on the bench).
        """
        settled = self.tables.recovery_complete()
        members = [member for member, _ in self.leadership.view.members]
        turn = members.index(self.settings.member)
        passed = {holder for holder, _ in self.reservations.values()}
        for job in self.queue.jobs:
            spec = job.spec
            if (
                not (spec.gang and spec.tasks == 1)
                or spec.id in passed
                or not self.tables.unclaimed_tasks(job, settled)
            ):
                continue
            passed.add(spec.id)  # it may stand in the line twice
            wait = 4 * self.tick_interval_s + (
                0 if self.queue.has_image_affinity(job) else (1 + turn) * self.settings.report_s
            )
            if now - self.queue.queued_since.get(spec.id, now) < wait or self.health.is_job_paused(spec.id, now):
                continue
            yield job

    def _scarce_capacities(self) -> dict[str, placement.FreeCapacity]:
        """What is free on machines of types that some live job fits and others not, by machine."""
        return {
            machine.name: self.registry.free_capacity(machine, self.tables.machine_types[machine.type])
            for machine in self.registry.machines.values()
            if machine.type in self.queue.scarce_types
            and machine.type in self.tables.machine_types
            and self.registry.is_schedulable(machine)
            and machine.name in self.tables.machines
        }
