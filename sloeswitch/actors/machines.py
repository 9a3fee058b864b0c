"""Machines: reports, orders, placement and accounting of the machines this controller owns.

Owns the yard. It is the Steal side of dwork: free room asks the jobs actor for the oldest ready tasks,
completions go back as Complete, and work that comes back is placed first.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sloeswitch import wire
from sloeswitch.actors import fleet
from sloeswitch.actors.base import Actor, Ask, Busy
from sloeswitch.actors.jobs import Jobs, Learnt, Steal, note_task
from sloeswitch.actors.membership import Membership, Settled, Standing
from sloeswitch.core import placement, quota, ready, taskset
from sloeswitch.core import tables as t
from sloeswitch.core.health import Health
from sloeswitch.core.tables import LIVE, Job, Tables
from sloeswitch.core.yard import RUNNING, Heard, Machine, Yard
from sloeswitch.http import Answer, Client, NoAnswer, refuse
from sloeswitch.settings import Address, Settings, Team
from sloeswitch.state import Outcome, Replica, StateClient, Urgency

log = logging.getLogger("machines")


@dataclass
class Beat(Ask):
    report: wire.Report | None = None


@dataclass
class Direct:
    """A machine's answer to a direct command."""

    report: wire.Report


@dataclass
class Deleted:
    """The cloud confirmed that these machines, and all on them, are gone."""

    machines: list[str]


class Tick:
    pass


def wall_ms() -> int:
    """The time of day, which jobs' ages are reckoned by; right within the settings' clock error."""
    return int(time.time() * 1000)


class Machines(Actor):
    name = "machines"

    def __init__(
        self, settings: Settings, client: StateClient, replica: Replica, standing: Standing, jobs: Jobs,
        membership: Membership, now: Callable[[], float],
    ) -> None:  # fmt: skip
        super().__init__()
        self.settings = settings
        self.client = client
        self.replica = replica
        self.tables: Tables = replica.tables
        self.standing = standing
        self.jobs = jobs
        self.membership = membership
        self.now = now
        self.group: TaskGroup | None = None
        self.fleet: fleet.Fleet | None = None
        self.yard = Yard()
        self.health = Health(settings.report_s, 20 * settings.lease_s)
        self.boot = 0
        self.seen_view = 0
        self.counter = 0
        self.stealing = False
        self.registering: set[str] = set()
        self.probing: dict[str, float] = {}
        self.probe_failed: dict[str, int] = {}
        self.waiting_since: dict[str, float] = {}
        self.wake = anyio.Event()
        self.learnt = Learnt()
        # Told and not yet in the tables, as sets of tasks by job.
        self.finished: dict[str, int] = {}
        self.releasing: dict[str, int] = {}
        # Smaller allowances being stored: team -> (stamp it relies on, cores, gpus).
        self.shrinking: dict[str, tuple[int, float, float]] = {}
        self.surplus_since: dict[str, float] = {}
        self.pace_s = settings.report_s / 10
        # Work is claimed about this long before it can start.
        self.ahead_s = 0.2 * settings.lease_s

    # -- messages

    async def handle(self, message: Any) -> None:
        if isinstance(message, Beat):
            assert message.report is not None
            message.reply(self._beat(message.report))
        elif isinstance(message, Tick):
            self._tick()
        elif isinstance(message, Direct):
            self._direct(message.report)
        elif isinstance(message, Deleted):
            self._deleted(message.machines)

    async def tick_forever(self) -> None:
        while True:
            with anyio.move_on_after(2.5 * self.pace_s):
                async with anyio.create_task_group() as group:
                    group.start_soon(self._either, group, self.replica.changed)
                    group.start_soon(self._either, group, self.wake)
            self.wake = anyio.Event()
            with contextlib.suppress(Busy):
                self.tell(Tick())
            await anyio.sleep(self.pace_s)

    @staticmethod
    async def _either(group: TaskGroup, event: anyio.Event) -> None:
        await event.wait()
        group.cancel_scope.cancel()

    # -- ownership

    def _follow_view(self) -> None:
        standing = self.standing
        if standing.boot != self.boot:
            self.boot = standing.boot
            self.seen_view = 0
            self.yard.reset()
            self.shrinking.clear()
            self.surplus_since.clear()
            self.releasing.clear()
            self.learnt.released.clear()
            self.learnt.adopted.clear()
            self.jobs.forget()
        if not standing.included or standing.view.number == self.seen_view:
            return
        view = standing.view
        consecutive = view.number == self.seen_view + 1
        me = self.settings.member
        gone_at = self.now() + self.settings.takeover_gone_s
        for name in list(self.yard.machines):
            machine = self.yard.machines[name]
            if standing.owner(name) != me:
                self.yard.give_up(name)
            elif not consecutive:
                self.yard.unhear(machine, view.number, gone_at)
        for name, row in self.tables.machines.items():
            if standing.owner(name) == me and name not in self.yard.machines:
                self.yard.take(name, row.address, row.type, row.zone, row.spot, view.number, gone_at)
        self.seen_view = view.number
        self.learnt.adopted = dict(self.yard.still_adopting())
        self.learnt.view = view.number
        log.info("view %d: %d machines are ours, %d of them to be heard", view.number, len(self.yard.machines),
                 sum(not machine.known for machine in self.yard.machines.values()))  # fmt: skip

    # -- reports

    def _beat(self, report: wire.Report) -> Answer:
        standing = self.standing
        if not standing.may_answer:
            return refuse(1)
        owner = standing.owner(report.machine)
        if owner != self.settings.member:
            return Answer(421, wire.redirect_reply(owner))
        self._follow_view()
        if report.token > standing.view.number or report.machine in self.tables.deleted:
            return refuse(1)
        now = self.now()
        machine = self.yard.machines.get(report.machine)
        if machine is None:
            # Never registered, so that nobody can have started anything on it.
            machine = self.yard.take(
                report.machine, report.address, report.type, report.zone, report.spot,
                standing.view.number, now + self.settings.worker_gone_s,
            )  # fmt: skip
            machine.accounted = True
        try:
            heard = self.yard.hear(machine, report, True, now, standing.view.number, self.tables)
        except wire.Malformed as error:
            log.error("report of %s: %s", report.machine, error)
            return Answer(400)
        orders: list[wire.Order] = []
        if heard.fresh:
            self._after(machine, heard)
            self._place_waiting(only=machine)
            orders = self.yard.orders(machine, self.tables, report.serial)
        machine.answered_at = now
        machine.gone_at = max(machine.gone_at if not machine.known else 0.0, now + self.settings.worker_gone_s)
        return Answer(200, wire.encode(wire.Orders(standing.view.number, orders)))

    def _direct(self, report: wire.Report) -> None:
        machine = self.yard.machines.get(report.machine)
        if machine is None or self.seen_view != self.standing.view.number:
            return
        try:
            heard = self.yard.hear(machine, report, False, self.now(), self.seen_view, self.tables)
        except wire.Malformed as error:
            log.error("report of %s: %s", report.machine, error)
            return
        if heard.fresh:
            self._after(machine, heard)

    def _after(self, machine: Machine, heard: Heard) -> None:
        now = self.now()
        self.probe_failed.pop(machine.name, None)
        for (job, index), name in heard.done:
            self.health.success(job, name)
            note_task(self.learnt.done, job, 1 << index)
            note_task(self.finished, job, 1 << index)
        for (job, index), name in heard.failed:
            was = self.health.machine_faulty(name)
            self.health.failure(job, name, now)
            log.info("%s failed on %s", wire.task_name(job, index), name)
            if not was and self.health.machine_faulty(name):
                log.info("%s fails what it is given: no more work for it", name)
        for job, index in heard.adopt:
            note_task(self.learnt.adopted, job, 1 << index)
        self._tell_jobs()
        if heard.freed or heard.done:
            self.wake.set()

    def _tell_jobs(self) -> None:
        if self.learnt:
            try:
                self.jobs.tell(self.learnt)
            except Busy:
                return  # told later, with what comes until then
            self.learnt = Learnt(view=self.seen_view)

    def _prune_told(self) -> None:
        """Forgets what the tables show by now, and the failures of jobs that are over."""
        for name in [name for name in self.health.jobs if name in self.tables.over]:
            self.health.forget_job(name)
        for told, mine in ((self.finished, False), (self.releasing, True)):
            for name in list(told):
                job = self.tables.jobs.get(name)
                mask = 0
                if job is not None:
                    mask = told[name] & ~job.progress.done
                    if mine:
                        mask &= job.progress.claims.get(self.standing.tag, 0)
                if mask:
                    told[name] = mask
                else:
                    del told[name]

    def _release(self, job: str, tasks: int) -> None:
        note_task(self.learnt.released, job, tasks)
        note_task(self.releasing, job, tasks)

    def _idle_claims(self, job: Job) -> int:
        """Tasks claimed by this controller that are nowhere and may be placed. Those that ended, or are
        being released, are neither: telling the jobs actor and storing take a while."""
        claimed = job.progress.claims.get(self.standing.tag, 0)
        if not claimed:
            return 0
        name = job.spec.id
        settled = job.progress.done | self.finished.get(name, 0) | self.releasing.get(name, 0)
        return self.yard.waiting(name, claimed, settled)

    # -- the tick

    def _tick(self) -> None:
        standing = self.standing
        if not standing.included:
            if standing.boot != self.boot:
                self._follow_view()
            return
        self._follow_view()
        now = self.now()
        for machine in list(self.yard.machines.values()):
            self._watch_over(machine, now)
        self._stop_cancelled()
        if self.tables.all_settled():
            self.yard.limbo.clear()
        self.yard.prune_limbo(self.tables, standing.tag)
        self._prune_told()
        if standing.may_answer:
            self._place_waiting()
        if standing.may_act:
            if self.yard.settled(self.tables, standing.tag) and self.membership.settled != self.seen_view:
                self.membership.tell(Settled(self.seen_view))
            self._register()
            self._steal()
        self._tell_jobs()

    def _watch_over(self, machine: Machine, now: float) -> None:
        if now >= machine.gone_at and (machine.heard or not machine.accounted):
            lost = self.yard.lose(machine)
            log.info("%s is silent and its lease is over: %d tasks come back", machine.name, len(lost))
        silent = now - max(machine.heard_at, machine.answered_at, machine.gone_at - self.settings.takeover_gone_s)
        if (machine.heard and silent > 2.2 * self.settings.report_s) or not machine.known:
            self._probe(machine, now)
        patience = max(3.5 * self.settings.report_s, 0.35 * self.settings.lease_s)
        failed = self.probe_failed.get(machine.name, 0)
        if silent > patience and failed >= 2 and self.standing.may_act and not self._blind(now):
            self._return(machine, "silent")
        elif self.health.machine_faulty(machine.name) and self.standing.may_act:
            machine.draining = True
            if not machine.attempts:
                self._return(machine, "faulty")
        if machine.notice_s is not None:
            for attempt in list(machine.attempts.values()):
                if attempt.spec.checkpoint_s > 0 and attempt.state == RUNNING:
                    self._kill(machine, attempt, attempt.spec.save_s)

    def _blind(self, now: float) -> bool:
        """Most machines silent at once points to our own network; then their leases must do."""
        heard = [machine for machine in self.yard.machines.values() if machine.heard]
        late = sum(now - machine.heard_at > 2.2 * self.settings.report_s for machine in heard)
        return len(heard) > 3 and late > 0.75 * len(heard)

    def _return(self, machine: Machine, why: str) -> None:
        machine.draining = True
        if self.fleet is not None and self.fleet.give_back(machine.name):
            log.info("%s goes back: %s", machine.name, why)

    def _deleted(self, machines: list[str]) -> None:
        for name in machines:
            machine = self.yard.machines.get(name)
            if machine is not None:
                lost = self.yard.lose(machine)
                if lost:
                    log.info("%s is deleted: %d tasks come back", name, len(lost))
                del self.yard.machines[name]
            self.health.forget_machine(name)
            self.tables.deleted.add(name)
            assert self.group is not None
            self.group.start_soon(self._unregister, name)
        self.wake.set()

    async def _unregister(self, name: str) -> None:
        for _ in range(20):
            if name not in self.tables.machines:
                return
            outcome, _ = await self.client.commit({}, {}, [t.machine_key(name)], Urgency.PROGRESS)
            if outcome is Outcome.DONE:
                return
            await anyio.sleep(self.settings.report_s)

    def _register(self) -> None:
        """Stores machines before anything is started on them, so that a later owner knows of them."""
        fresh = [
            machine for name, machine in self.yard.machines.items()
            if machine.heard and name not in self.tables.machines and name not in self.registering
        ]  # fmt: skip
        if fresh:
            batch = fresh[: self.settings.txn_ops]
            self.registering.update(machine.name for machine in batch)
            assert self.group is not None
            self.group.start_soon(self._store_machines, batch)

    async def _store_machines(self, batch: list[Machine]) -> None:
        writes = {
            t.machine_key(machine.name): {
                "a": machine.address, "t": machine.type, "z": machine.zone, "s": machine.spot,
            }
            for machine in batch
        }  # fmt: skip
        conditions = self.standing.claim_conditions()
        try:
            if self.standing.view.number == self.seen_view:
                await self.client.commit(conditions, writes, [], Urgency.CLAIM)
                self.replica.hint()
                await anyio.sleep(self.pace_s)
        finally:
            self.registering.difference_update(machine.name for machine in batch)
            self.wake.set()

    def _stop_cancelled(self) -> None:
        for name, job in self.tables.jobs.items():
            if job.status == LIVE:
                continue
            waiting = self._idle_claims(job)
            if waiting and not self._on_machine(name):
                self._release(name, waiting)
        for machine in list(self.yard.machines.values()):
            for attempt in list(machine.attempts.values()):
                record = self.tables.jobs.get(attempt.job)
                if record is None or record.status != LIVE:
                    self._kill(machine, attempt, 0.0)

    def _on_machine(self, job: str) -> bool:
        return any(key[0].startswith(job + "/") for machine in self.yard.machines.values() for key in machine.unwanted)

    def _kill(self, machine: Machine, attempt: Any, grace_s: float) -> None:
        if self.yard.kill(machine, attempt, grace_s) and machine.heard:
            assert self.group is not None
            self.group.start_soon(self._command, machine)

    # -- direct commands

    def _probe(self, machine: Machine, now: float) -> None:
        """Asks a machine that does not report; for a machine just taken over this also fences it."""
        if now < self.probing.get(machine.name, 0.0) or not machine.address or self.group is None:
            return
        self.probing[machine.name] = now + self.settings.lease_s
        self.group.start_soon(self._command, machine)

    async def _command(self, machine: Machine) -> None:
        """Sends what is to be stopped under the present token. No starts: they could arrive late."""
        session = machine.session or 1
        try:
            for _ in range(2):
                if not self.standing.may_answer or self.yard.machines.get(machine.name) is not machine:
                    return
                orders = self.yard.orders(machine, self.tables, None) if machine.heard else []
                body = wire.encode(wire.Orders(self.standing.view.number, orders, session))
                host, _, port = machine.address.rpartition(":")
                client = Client(Address(host, int(port)), most_idle=0)
                reply = await client.request("POST", "/commands", body, min(2.0, self.settings.lease_s / 6))
                if reply.status not in (200, 409):
                    return
                report = wire.decode(reply.body, wire.Report)
                self.tell(Direct(report))
                if reply.status == 200 or report.session == session:
                    return
                session = report.session
        except NoAnswer:
            self.probe_failed[machine.name] = self.probe_failed.get(machine.name, 0) + 1
        except (wire.Malformed, ValueError, Busy) as error:
            log.error("%s answered a command with %s", machine.name, error)
        finally:
            self.probing[machine.name] = self.now() + self.settings.report_s / 4

    # -- placement

    def _rooms(self, only: Machine | None = None) -> list[placement.Room]:
        rooms = []
        for machine in [only] if only is not None else self.yard.machines.values():
            kind = self.tables.types.get(machine.type)
            if (
                kind is not None
                and machine.name in self.tables.machines
                and self.yard.usable(machine)
                and not self.health.machine_faulty(machine.name)
                # A machine that misses its reports gets nothing new.
                and self.now() - machine.heard_at < 2.2 * self.settings.report_s
            ):
                rooms.append(self.yard.room(machine, kind))
        return rooms

    def _place_waiting(self, only: Machine | None = None) -> None:
        """Puts claimed work on machines; work that came back stands before anything newly claimed."""
        rooms: list[placement.Room] | None = None
        uses: dict[str, quota.Use] = {}
        now = self.now()
        for job in ready.order(self.tables, self.settings, wall_ms()):
            waiting = self._idle_claims(job)
            name = job.spec.id
            if not waiting:
                self.waiting_since.pop(name, None)
                continue
            if rooms is None:
                rooms = self._rooms(only)
                uses = self._uses()
            if not self.health.paused(name, now):
                self._place(job, waiting, rooms, uses, now, only)
            left = self._idle_claims(job)
            if only is None and left:
                since = self.waiting_since.setdefault(name, now)
                if now - since > self.ahead_s + 2 * self.settings.report_s and self.standing.may_act:
                    self._release(name, left)
                    del self.waiting_since[name]

    def _place(
        self, job: Job, tasks: int, rooms: list[placement.Room], uses: dict[str, quota.Use], now: float,
        only: Machine | None,
    ) -> None:  # fmt: skip
        name = job.spec.id
        team = job.spec.team
        tasks = taskset.lowest(tasks, quota.room_for(job.spec, self._allowance(team), uses[team]))
        if self.health.job_faulty(name):
            tasks = taskset.lowest(tasks, 1)
        usable = [room for room in rooms if not self.health.avoid(name, room.machine)]
        if job.spec.gang:
            if only is not None or tasks != job.everything:
                return
            trial = [placement.Room(**vars(room)) for room in usable]
            if len(placement.place(job, tasks, trial)) < job.spec.tasks:
                return
        placed = placement.place(job, tasks, usable)
        if not placed:
            return
        uses[team].add(job.spec, len(placed))
        self.waiting_since[name] = now
        number = self._number()
        for index, room in placed:
            self.yard.start(self.yard.machines[room.machine], name, index, number, job.spec, now)
        log.debug("%s: %d tasks on %s", name, len(placed), {room.machine for _, room in placed})

    def _number(self) -> int:
        """An attempt number that no other controller, and no other view, gives out."""
        self.counter += 1
        tags = [member for member, _ in self.standing.view.members]
        position = tags.index(self.settings.member)
        return (self.standing.view.number << 28) + (position << 24) + self.counter % (1 << 24)

    def _uses(self) -> dict[str, quota.Use]:
        """What tasks that may exist under this controller's responsibility use, by team."""
        uses = {team: quota.Use() for team in self.settings.teams}
        for machine in self.yard.machines.values():
            for attempt in machine.attempts.values():
                if attempt.spec.team in uses:
                    uses[attempt.spec.team].add(attempt.spec)
        for name, mask in self.yard.limbo.items():
            job = self.tables.jobs.get(name)
            if job is not None and job.spec.team in uses:
                uses[job.spec.team].add(job.spec, mask.bit_count())
        return uses

    def _allowance(self, team: str) -> tuple[float, float]:
        """What may be used now: the stored allowance, or less while a smaller one is being stored."""
        cores, gpus = self.tables.allowance(team, self.standing.tag)
        shrinking = self.shrinking.get(team)
        if shrinking is not None:
            # A write without an answer may be carried out until another one makes its condition false.
            if shrinking[0] == self.tables.stamp(t.team_key(team)):
                return min(cores, shrinking[1]), min(gpus, shrinking[2])
            del self.shrinking[team]
        return cores, gpus

    def _steal(self) -> None:
        if self.stealing or self.replica.client.failing_since is not None:
            return
        settled = self.tables.all_settled()
        now = self.now()
        rooms = self._rooms()
        uses = self._uses()
        wants: dict[str, int] = {}
        zones: dict[str, str] = {}
        # What each team could put to use on these machines: what runs, what waits, and what is open.
        useful = {team: quota.Use(use.cores, use.gpus) for team, use in uses.items()}
        spare = {team.name: self._spare(team, uses[team.name]) for team in self.settings.teams.values()}
        members = [member for member, _ in self.standing.view.members]
        turn = members.index(self.settings.member)
        for job in ready.rotated(ready.order(self.tables, self.settings, wall_ms()), len(members), turn):
            spec = job.spec
            name = spec.id
            if spec.team not in useful:
                continue
            waiting = self._idle_claims(job).bit_count()
            open_tasks = self.tables.open_tasks(job, settled)
            if not (open_tasks or waiting) or self.health.paused(name, now):
                continue
            count = open_tasks.bit_count() + waiting
            if self.health.job_faulty(name):
                count = min(count, 1)
            count = min(count, quota.room_for(spec, spare[spec.team], useful[spec.team]))
            if count == 0 or (spec.gang and count < spec.tasks):
                continue
            usable = [room for room in rooms if not self.health.avoid(name, room.machine)]
            if (spec.one_zone or spec.spread) and job.progress.zone is None and usable:
                zones[name] = max(usable, key=lambda room: room.count(spec)).zone
            trial = [placement.Room(**vars(room)) for room in usable] if spec.gang else usable
            tasks = taskset.lowest(open_tasks, max(0, count - waiting)) | taskset.lowest(self._idle_claims(job), count)
            placed = placement.place(job, tasks, trial)
            if spec.gang and len(placed) < spec.tasks:
                continue
            useful[spec.team].add(spec, len(placed))
            # Some tasks are claimed ahead, so that a machine which reports a completion gets the next
            # task with the answer instead of after a write.
            running = self.placed_count(name)
            ahead = 0 if spec.gang else round(running * self.ahead_s / max(spec.estimate_s, self.ahead_s))
            want = min(open_tasks.bit_count(), max(0, len(placed) + ahead - waiting))
            if want and (len(placed) > waiting or 2 * waiting < ahead) and len(wants) < self.settings.txn_ops // 2:
                wants[name] = want
        grow: dict[str, tuple[float, float]] = {}
        shrink: dict[str, tuple[int, float, float]] = {}
        for team, use in useful.items():
            held = self._allowance(team)
            if use.cores > held[0] + quota.SLACK or use.gpus > held[1] + quota.SLACK:
                self.surplus_since.pop(team, None)
                free = self.tables.unallotted(self.settings.teams[team])
                if team in self.shrinking or free[0] > quota.SLACK or free[1] > quota.SLACK:
                    grow[team] = (max(use.cores, held[0]), max(use.gpus, held[1]))
            elif use.cores < held[0] - quota.SLACK or use.gpus < held[1] - quota.SLACK:
                # Returned after a while: the next job of the team is likely to want it again.
                if now - self.surplus_since.setdefault(team, now) > 2 * self.settings.report_s:
                    shrink[team] = (self.tables.stamp(t.team_key(team)), use.cores, use.gpus)
                    self.shrinking[team] = shrink[team]
                    del self.surplus_since[team]
            else:
                self.surplus_since.pop(team, None)
        # A smaller allowance may be under way and its answer lost, and until something else is written we
        # hold ourselves to it. Found on the bench: a team stood still, since growing back to what was
        # stored all along wrote nothing.
        rewrite = {team for team in grow if team in self.shrinking}
        if wants or grow or shrink:
            self.stealing = True
            Steal(wants=wants, zones=zones, grow=grow, shrink=shrink, rewrite=rewrite)
            assert self.group is not None
            self.group.start_soon(
                self._ask_for, Steal(wants=wants, zones=zones, grow=grow, shrink=shrink, rewrite=rewrite)
            )

    def _spare(self, team: Team, use: quota.Use) -> tuple[float, float]:
        """The most that this controller could be allowed now: its allowance and what nobody holds."""
        cores, gpus = self.tables.allowance(team.name, self.standing.tag)
        more_cores, more_gpus = self.tables.unallotted(team)
        return max(cores + more_cores, use.cores), max(gpus + more_gpus, use.gpus)

    def startable(self, specs: list[wire.JobSpec]) -> list[wire.JobSpec]:
        """Those of which the team's limit leaves this controller room for one more task."""
        uses = self._uses()
        spare = {team.name: self._spare(team, uses[team.name]) for team in self.settings.teams.values()}
        return [
            spec for spec in specs
            if spec.team in spare and quota.room_for(spec, spare[spec.team], uses[spec.team]) > 0
        ]  # fmt: skip

    def placed_count(self, job: str) -> int:
        return self.yard.placed.get(job, 0).bit_count()

    async def _ask_for(self, steal: Steal) -> None:
        try:
            await self.jobs.ask(steal)
        except Busy:
            pass
        finally:
            self.stealing = False
            self.wake.set()
