"""What to rent and when to return it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sloeswitch.core.quota import Use, fits_type, room_for
from sloeswitch.core.ready import begun, targets
from sloeswitch.core.tables import Job, Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec, MachineType

Kind = tuple[str, str, bool]  # type, zone, spot


@dataclass
class Offer:
    """One kind of machine that may be rented."""

    kind: Kind
    type: MachineType

    @property
    def price(self) -> float:
        return self.type.spot_price if self.kind[2] else self.type.price

    def suits(self, spec: JobSpec) -> bool:
        _name, zone, spot = self.kind
        return fits_type(spec, self.type) and spec.zone in (None, zone) and (spec.spot or not spot)


@dataclass
class Need:
    """Tasks of a job that should run at once for it to be done in time."""

    spec: JobSpec
    tasks: int


# A job's work is spread over this part of the time left to its target; the rest is for what is not known:
# wrong estimates, lost machines, late boots. Machines are let go by a smaller part, so that they do not
# come and go with every job and none is missed while work waits.
SPREAD_RENT = 0.5
SPREAD_KEEP = 0.25
# Jobs without a target, and late ones, are spread over so many times a task's estimate.
UNHURRIED = 2.0


def at_once(job: Job, settings: Settings, wall_ms: int, spread: float) -> int:
    """How many of the job's remaining tasks should run at a time."""
    spec = job.spec
    estimate = max(spec.estimate_s, 1e-3)
    age = (wall_ms - job.submitted_ms) / 1000
    ahead = [target - age for target in targets(job, settings.objectives) if target - age > estimate]
    span = spread * ahead[0] if ahead else UNHURRIED * estimate
    return min(job.left, math.ceil(job.left * estimate / max(span, estimate)))


def soon(job: Job, tables: Tables) -> bool:
    """Whether all that the job still waits for has begun and it may not use spot machines: of the others there are
    few, and one may be up by the time that it is released. The rest finds room; looked for ahead as well, it cost
    more than it gained (found on the bench)."""
    if job.spec.spot or not job.waits or job.condemned:
        return False
    return all(begun(tables.jobs[name]) for name in job.spec.awaits if name in tables.jobs)


def needs(tables: Tables, settings: Settings, wall_ms: int, spread: float) -> list[Need]:
    """What the jobs need that are released, or soon will be, within the teams' limits, oldest first."""
    left = {name: [team.cpus_max, team.gpus_max] for name, team in settings.teams.items()}
    found = []
    for job in sorted(tables.jobs.values(), key=lambda job: job.born):
        limit = left.get(job.spec.team)
        if limit is None or not (job.runnable or soon(job, tables)):
            continue
        spec = job.spec
        tasks = min(at_once(job, settings, wall_ms, spread), room_for(spec, (limit[0], limit[1]), Use()))
        if tasks > 0:
            limit[0] -= tasks * spec.cores
            limit[1] -= tasks * spec.gpus
            found.append(Need(spec, tasks))
    return found


def machines_for(spec: JobSpec, tasks: int, kind: MachineType) -> float:
    """How many machines of the type the tasks would fill, as a fraction."""
    shares = [spec.cores / kind.cores if kind.cores else 0.0]
    shares.append(spec.memory / kind.memory if kind.memory else 0.0)
    shares.append(spec.gpus / kind.gpus if kind.gpus else 0.0)
    return tasks * max(shares)


def offers(types: dict[str, MachineType]) -> list[Offer]:
    """All kinds, the cheapest by the core first."""
    found = [
        Offer((kind.name, zone, spot), kind) for kind in types.values() for zone in kind.zones for spot in (True, False)
    ]
    found.sort(key=lambda offer: offer.price / max(offer.type.cores, 1e-3))
    return found


def fill(
    wanted: list[Need], supply: dict[Kind, int], found: list[Offer]
) -> tuple[dict[Kind, float], list[tuple[JobSpec, float]]]:
    """Puts the needs on the machines at hand, the cheapest first: machines left over of each kind, and
    tasks for which there is none."""
    left = {offer.kind: float(supply.get(offer.kind, 0)) for offer in found}
    short = []
    for need in wanted:
        tasks = float(need.tasks)
        for offer in found:
            if tasks <= 0:
                break
            if left[offer.kind] > 0 and offer.suits(need.spec):
                part = machines_for(need.spec, 1, offer.type)
                taken = min(tasks, left[offer.kind] / part) if part > 0 else tasks
                left[offer.kind] -= taken * part
                tasks -= taken
        if tasks > 1e-6:
            short.append((need.spec, tasks))
    return left, short


@dataclass
class Plan:
    kind: Kind
    count: int


# A kind is rented when at least this part of one of its machines would be filled.
WORTH_RENTING = 0.5


def rent(
    wanted: list[Need],
    supply: dict[Kind, int],
    types: dict[str, MachineType],
    refused: set[Kind],
    most: int,
) -> Plan | None:
    """The next booking, or None when the machines at hand, up or on their way, have room for all."""
    found = offers(types)
    _left, short = fill(wanted, supply, found)
    # Guards against a small job for which there is no machine at all: worth none by its size, it was never
    # started (found on the bench: three tasks that may not use spot machines, when the last other was returned).
    lone = [
        spec for spec, _tasks in short
        if not any(supply.get(offer.kind, 0) > 0 and offer.suits(spec) for offer in found)
    ]  # fmt: skip
    best: tuple[float, int, Kind, int] | None = None
    for offer in found:
        if offer.kind in refused:
            continue
        machines = sum(machines_for(spec, 1, offer.type) * tasks for spec, tasks in short if offer.suits(spec))
        if machines < WORTH_RENTING and not any(offer.suits(spec) for spec in lone):
            continue
        price = offer.price / max(offer.type.cores, 1e-3)
        candidate = (price, supply.get(offer.kind, 0), offer.kind, min(most, max(1, math.floor(machines))))
        if best is None or candidate[:2] < best[:2]:
            best = candidate
    return Plan(best[2], best[3]) if best is not None else None


def surplus(wanted: list[Need], supply: dict[Kind, int], types: dict[str, MachineType]) -> dict[Kind, int]:
    """Machines, by kind, that the needs leave over, but for a margin of one, the cheapest: the dearest
    are let run empty first."""
    found = offers(types)
    left, short = fill(wanted, supply, found)
    if short:
        return {}
    spared = {offer.kind: math.floor(left[offer.kind] + 1e-6) for offer in found}
    for offer in found:
        if spared[offer.kind]:
            spared[offer.kind] -= 1
            break
    return {kind: count for kind, count in spared.items() if count}
