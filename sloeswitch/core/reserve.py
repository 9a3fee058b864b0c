"""Machines kept for work that cannot wait until one is rented and up."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sloeswitch.core.fleet import Need
from sloeswitch.core.quota import fits_type
from sloeswitch.core.ready import targets
from sloeswitch.core.tables import Job, Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec, MachineType

# The slowest task of an array runs about this part of the estimate longer than the estimate (found on the bench).
SLOWEST_TASK = 0.5
# A slow boot, in times of what the cloud tells; usual ones take 0.6 to 1.5 times that (protocol). Kept for the slowest
# usual boot, machines cost more than was gained (found on the bench).
SLOW_BOOT = 1.25
# How long a peak of need is remembered, in boot times of the fastest type that suits.
REMEMBERED_BOOTS = 10.0
# Such work has ended when none came for so many of its usual intervals, and for so many boot times.
ENDED_INTERVALS = 4.0
ENDED_BOOTS = 2.0


def latest_start_s(job: Job, settings: Settings) -> float:
    """Seconds from submission by which all tasks of the job must run for it to meet its first target. What must only
    start in time is not late for running long."""
    spec = job.spec
    waits = {
        aim.within_s for aim in settings.objectives
        if aim.kind == "wait" and aim.klass == spec.klass and aim.within_s is not None
    }  # fmt: skip
    waited_s = (job.ready_ms - job.submitted_ms) / 1000
    starts = {waited_s + within_s for within_s in waits}
    ends = set(targets(job, settings.objectives)) - {start_s + spec.estimate_s for start_s in starts}
    starts.update(end_s - (1 + SLOWEST_TASK) * spec.estimate_s for end_s in ends)
    return min(starts, default=float("inf"))


def cannot_wait(job: Job, settings: Settings, types: dict[str, MachineType]) -> bool:
    """Whether a machine rented when the job is submitted may be up too late for its first target."""
    boots = [kind.boot_s for kind in types.values() if fits_type(job.spec, kind)]
    return bool(boots) and latest_start_s(job, settings) < SLOW_BOOT * min(boots)


@dataclass(frozen=True)
class Suited:
    """The kinds of machines on which tasks may run; what suits the same ones shares a peak."""

    types: frozenset[str]
    zone: str | None
    spot: bool

    @staticmethod
    def to(spec: JobSpec, types: dict[str, MachineType]) -> Suited:
        """The kinds that suit the tasks of a job."""
        fitting = frozenset(kind.name for kind in types.values() if fits_type(spec, kind))
        return Suited(fitting, spec.zone, spec.spot)


@dataclass
class Peaks:
    """The most cores that were needed at once within the time that is remembered.

    Only amounts that no later one reached are kept, so that the first is the peak.
    """

    amounts: deque[tuple[float, float]] = field(default_factory=deque)
    # When jobs of this kind were first seen, the latest last.
    arrivals: dict[str, float] = field(default_factory=dict)

    def add(self, now: float, amount: float, span_s: float) -> None:
        """Takes note of what is needed now, and forgets what is longer ago than `span_s`."""
        while self.amounts and self.amounts[-1][1] <= amount:
            self.amounts.pop()
        self.amounts.append((now, amount))
        while self.amounts[0][0] < now - span_s:
            self.amounts.popleft()

    def arrived(self, job: str, now: float) -> None:
        """Takes note of a job that is there now."""
        self.arrivals.setdefault(job, now)

    def ended(self, now: float, boot_s: float) -> bool:
        """Whether such work has stopped coming. Guards against machines that are kept idle long after a day's last
        work (found on the bench: a twentieth of the money spent)."""
        span_s = REMEMBERED_BOOTS * boot_s
        self.arrivals = {job: at for job, at in self.arrivals.items() if at >= now - span_s}
        if not self.arrivals:
            return True
        usual_s = span_s / len(self.arrivals)
        return now - max(self.arrivals.values()) > max(ENDED_INTERVALS * usual_s, ENDED_BOOTS * boot_s)

    @property
    def peak(self) -> float:
        return self.amounts[0][1]


class Reserve:
    """Remembers how much work that cannot wait for a boot was there at once, and asks for room for as much again.

    Guards against a burst that meets a fleet which was returned because nothing needed it just then (found on the
    bench: 26 machines of 150 were left when a class came three times as often).
    """

    def __init__(self) -> None:
        self.peaks: dict[Suited, Peaks] = {}
        # A job that stands for all that suits the same machines: the last one seen.
        self.examples: dict[Suited, JobSpec] = {}

    def observe(self, wanted: list[Need], tables: Tables, settings: Settings, now: float) -> None:
        """Takes note of what is needed now, and forgets peaks that are too long ago."""
        amounts: dict[Suited, float] = {}
        for need in wanted:
            job = tables.jobs.get(need.spec.id)
            if job is None or not need.spec.cores or not cannot_wait(job, settings, tables.types):
                continue
            suited = Suited.to(need.spec, tables.types)
            amounts[suited] = amounts.get(suited, 0.0) + need.tasks * need.spec.cores
            self.examples[suited] = need.spec
            self.peaks.setdefault(suited, Peaks()).arrived(job.spec.id, now)
        for suited, peaks in list(self.peaks.items()):
            boots = [kind.boot_s for name, kind in tables.types.items() if name in suited.types]
            boot_s = min(boots, default=0.0)
            peaks.add(now, amounts.get(suited, 0.0), REMEMBERED_BOOTS * boot_s)
            if not peaks.peak or peaks.ended(now, boot_s):
                del self.peaks[suited], self.examples[suited]

    def missing(self, wanted: list[Need], types: dict[str, MachineType]) -> list[Need]:
        """What the remembered peaks are above the needs of now, whether those can wait or not."""
        present: dict[Suited, float] = {}
        for need in wanted:
            suited = Suited.to(need.spec, types)
            present[suited] = present.get(suited, 0.0) + need.tasks * need.spec.cores
        found = []
        for suited, peaks in self.peaks.items():
            example = self.examples[suited]
            tasks = int((peaks.peak - present.get(suited, 0.0)) // example.cores)
            if tasks > 0:
                found.append(Need(example, tasks))
        return found
