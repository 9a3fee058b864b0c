"""The order of ready work: oldest first, as in dwork, within the exceptions the deployments need.

Job join counters start at zero, since protocol jobs name no prerequisites, so an accepted job is
ready. The ready list is rebuilt from the stored tables; nothing of it is stored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import compress, takewhile

from sloeswitch.core.quota import within_guarantee
from sloeswitch.core.tables import LIVE, Job, Tables
from sloeswitch.settings import Objective, Settings
from sloeswitch.wire import URGENCIES, JobSpec

RANK = {name: number for number, name in enumerate(URGENCIES)}


def targets(spec: JobSpec, objectives: tuple[Objective, ...]) -> list[float]:
    """Seconds from submission by which the job should be done, the earliest first."""
    found = set()
    for objective in objectives:
        if objective.klass != spec.klass:
            continue
        if objective.kind == "deadline" and spec.deadline_s is not None:
            found.add(objective.times * spec.deadline_s)
        elif objective.kind == "finished" and objective.within_s is not None:
            found.add(objective.within_s)
        elif objective.kind == "wait" and objective.within_s is not None:
            found.add(objective.within_s + spec.estimate_s)
    if spec.deadline_s is not None and not found:
        found.add(spec.deadline_s)
    return sorted(found)


# Nothing starves, whatever the order by priority, guarantee and lateness: a job with nothing begun after so
# many worker leases goes before all others until a part of it is, and one still not done after twice as many
# goes by age alone. Eight leases are two minutes or less, so that a job begins well within four minutes.
PATIENCE_LEASES = 8.0
# The part of a job's tasks that goes first on that ground.
BEGINNING = 0.125


def begun(job: Job) -> bool:
    return bool(job.progress.done or job.progress.claims)


def standing_back(begun: bool, age_s: float, lease_s: float) -> int:
    """How a job that waits goes before others: 0 first, then 1, and 2 is the ordinary line."""
    if age_s < PATIENCE_LEASES * lease_s:
        return 2
    if not begun:
        return 0
    return 1 if age_s > 2 * PATIENCE_LEASES * lease_s else 2


def outlook(job: Job, objectives: tuple[Objective, ...], age_s: float) -> tuple[int, float | None]:
    """How many targets of the job are missed for certain, and the age at which its last tasks must have
    started to meet the next one; None when there is no such target."""
    if job.targets is None:
        job.targets = targets(job.spec, objectives)
    needed = job.spec.estimate_s if job.unstarted else 0.0
    for missed, target in enumerate(job.targets):
        if target >= age_s + needed:
            return missed, target - needed
    return len(job.targets), None


def order(
    tables: Tables, settings: Settings, wall_ms: int, has_begun: Callable[[Job], bool] = begun
) -> list[Job]:  # fmt: skip
    """Live jobs with tasks left, in the order in which they get room.

    Oldest first, where a job that has time to its next target counts as younger by the time that it can wait:
    short jobs have little, and were late behind long ones (found on the bench). What lay within its team's
    guarantee when it came goes first, since it need not wait for others. It is decided once: of a team that has
    more than its guarantee the oldest work is promised nothing, and counted as guaranteed it kept urgent jobs
    waiting (found on the bench). Then priority, and jobs that have missed no target
    yet before those that have. Jobs which cannot meet a target any more stand behind those which can: when a
    class comes faster than its team's limit allows, plain age would make every job late. How long a job may
    stand back is bounded: one that waited too long for its beginning stands in the line twice, in front for a
    part of its tasks (`beginning`) and in its ordinary place for the rest.
    """
    live = sorted((job for job in tables.jobs.values() if job.status == LIVE), key=lambda job: job.born)
    wanted: dict[str, tuple[float, float]] = {}
    keyed: list[tuple[tuple[int, bool, bool, int, int, float], Job]] = []
    for job in live:
        spec = job.spec
        cores, gpus = wanted.get(spec.team, (0.0, 0.0))
        cores, gpus = cores + spec.tasks * spec.cores, gpus + spec.tasks * spec.gpus
        wanted[spec.team] = (cores, gpus)
        age_s = (wall_ms - job.submitted_ms) / 1000
        back = standing_back(has_begun(job), age_s, settings.lease_s)
        team = settings.teams.get(spec.team)
        if job.guaranteed is None:
            job.guaranteed = team is not None and within_guarantee(team, cores, gpus)
        missed, start_by_s = outlook(job, settings.objectives, age_s)
        job.beginning = back == 0
        if job.beginning:
            keyed.append(((0, False, False, 0, 0, float(job.born)), job))
            back = 2
        if back < 2:
            key = (back, False, False, 0, 0, float(job.born))
        elif missed and start_by_s is None:
            # Only the end of all work is at stake: the longest tasks first, so that none is left over.
            key = (back, True, False, 0, 0, -spec.estimate_s)
        else:
            start_by = job.submitted_ms / 1000 + (start_by_s or 0.0)
            key = (back, False, not job.guaranteed, RANK[spec.priority], missed, start_by)
        job.rank = key[:-1]
        keyed.append((key, job))
    keyed.sort(key=lambda pair: pair[0])
    return [job for _, job in keyed]


def rotated(jobs: list[Job], parts: int, turn: int) -> list[Job]:
    """The order in which one of `parts` controllers claims: the oldest jobs are dealt out, so that the
    controllers do not all write the same one. Nobody's turn at a job moves by more than `parts` places."""
    dealt: list[Job] = []
    for start in range(0, len(jobs), parts):
        chunk = jobs[start : start + parts]
        shift = turn % len(chunk)
        dealt += chunk[shift:] + chunk[:shift]
    return dealt


# Controllers take the jobs whose images are theirs first, among so many times as many as there are controllers.
WINDOW = 4


def dealt(jobs: list[Job], parts: int, turn: int, home: Callable[[Job], bool]) -> Iterator[Job]:
    """The order in which one of `parts` controllers claims. Among jobs next to each other that differ by age
    alone, a few at a time, those whose image is at home with it come first: each controller's machines then
    fetch a part of the images only, and a job is mostly one controller's. The others are dealt out."""

    def window_from(start: int) -> list[Job]:
        most = jobs[start : start + WINDOW * parts]
        return list(takewhile(lambda job: job.rank == most[0].rank, most))

    start = 0
    while start < len(jobs):
        window = window_from(start)
        start += len(window)
        at_home = [home(job) for job in window]
        yield from compress(window, at_home)
        yield from rotated([job for job, here in zip(window, at_home, strict=True) if not here], parts, turn)
