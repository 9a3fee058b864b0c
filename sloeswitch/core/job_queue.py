"""The order of ready work: oldest first, as in dwork, within the exceptions the deployments need.

A job is ready when its join counter is zero (see graph). The ready list is rebuilt from the stored tables;
nothing of it is stored.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from itertools import compress, takewhile

from sloeswitch.core.quota import within_guarantee
from sloeswitch.core.records import InheritedDeadlines, Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Objective, Settings
from sloeswitch.wire import PRIORITIES, JobSpec

PRIORITY_RANKS = {name: number for number, name in enumerate(PRIORITIES)}
# The priority that work usually has.
STANDARD_RANK = PRIORITY_RANKS["standard"]


def deadlines(spec: JobSpec, objectives: tuple[Objective, ...]) -> set[float]:
    """Seconds from submission by which the job is due, by what is aimed at for its class."""
    if spec.deadline_s is None:
        return set()
    times = {aim.times for aim in objectives if aim.kind == "deadline" and aim.job_class == spec.job_class}
    return {each * spec.deadline_s for each in times}


def slo_targets(job: Job, objectives: tuple[Objective, ...]) -> list[float]:
    """Seconds from submission by which the job should be done, the earliest first; reckoned once. Deadlines
    count from the submission, the other times from when the last job that it needs was done."""
    if job.targets is not None:
        return job.targets
    spec = job.spec
    found = deadlines(spec, objectives)
    waited_s = (job.ready_ms - job.submitted_ms) / 1000
    for objective in objectives:
        if objective.job_class != spec.job_class or objective.within_s is None:
            continue
        if objective.kind == "finished":
            found.add(waited_s + objective.within_s)
        elif objective.kind == "wait":
            found.add(waited_s + objective.within_s + spec.estimate_s)
    if spec.deadline_s is not None and not found:
        found.add(spec.deadline_s)
    if job.inherited_ms is not None:
        found.update((by_ms - job.submitted_ms) / 1000 for by_ms in job.inherited_ms)
    job.targets = sorted(found)
    return job.targets


def propagate_priorities(tables: Tables, settings: Settings) -> None:
    """Passes priorities and deadlines upstream: a job gets the highest priority of all that need it, and must
    be done by their deadlines less the path between, the usual backward pass over a critical path. A step of
    the path is an estimate, the image's way to a machine and a report."""
    graph, jobs = tables.graph, tables.jobs
    graph.priorities_stale = False
    fetch_gb_s = min((kind.fetch_gb_s for kind in tables.machine_types.values() if kind.fetch_gb_s > 0), default=0.0)
    needed_by = {
        name: {waiting for waiting in waitings if waiting in jobs and not jobs[waiting].is_cancelled}
        for name, waitings in graph.successors.items()
        if name in jobs
    }
    was = {}
    for name, job in jobs.items():
        if job.inherited_rank is not None or job.inherited_ms is not None or name in needed_by:
            was[name] = (job.inherited_rank, job.inherited_ms)
            job.inherited_rank = job.inherited_ms = None
    walk = deque(
        name
        for name, job in jobs.items()
        if job.unfinished_prerequisites and not job.is_cancelled and not needed_by.get(name)
    )
    while walk:
        name = walk.popleft()
        job = jobs[name]
        spec = job.spec
        rank = effective_priority(job)
        due = deadlines(spec, settings.objectives)
        if spec.deadline_s is not None and not due:
            due.add(spec.deadline_s)
        ends = [job.submitted_ms + 1000 * each for each in due]
        if job.inherited_ms is not None:
            ends += job.inherited_ms
        lead_ms = 1000 * (spec.estimate_s + settings.report_s + (spec.image_gb / fetch_gb_s if fetch_gb_s else 0.0))
        for before in spec.prerequisites:
            waitings = needed_by.get(before)
            if waitings is None or name not in waitings:
                continue
            earlier = jobs[before]
            earlier.inherited_rank = rank if earlier.inherited_rank is None else min(rank, earlier.inherited_rank)
            if ends:
                first, last = min(ends) - lead_ms, max(ends) - lead_ms
                known = earlier.inherited_ms or (first, last)
                earlier.inherited_ms = InheritedDeadlines(min(first, known[0]), min(last, known[1]))
            waitings.discard(name)
            if not waitings and earlier.unfinished_prerequisites:
                walk.append(before)
    for name, before_ in was.items():
        if before_ != (jobs[name].inherited_rank, jobs[name].inherited_ms):
            jobs[name].targets = None
            jobs[name].guaranteed = None


def effective_priority(job: Job) -> int:
    """A job has the priority of any job that needs it, if that is higher."""
    own = PRIORITY_RANKS[job.spec.priority]
    return own if job.inherited_rank is None else min(own, job.inherited_rank)


# Nothing starves, whatever the order by priority, guarantee and lateness: a job with nothing begun after so
# many worker leases goes before all others until a part of it is, and one still not done after twice as many
# goes by age alone. Eight leases are two minutes or less, so that a job begins well within four minutes.
STARVATION_LEASES = 8.0
# The part of a job's tasks that goes first on that ground.
STARVED_SHARE = 0.125


def is_begun(job: Job) -> bool:
    return bool(job.progress.done or job.progress.claims)


def starvation_rank(begun: bool, age_s: float, lease_s: float) -> int:
    """How a job that waits goes before others: 0 first, then 1, and 2 is the ordinary line."""
    if age_s < STARVATION_LEASES * lease_s:
        return 2
    if not begun:
        return 0
    return 1 if age_s > 2 * STARVATION_LEASES * lease_s else 2


def is_ordered_by_age(job: Job) -> bool:
    """Whether the job stands in the line by its age alone, since it has not been done for so long."""
    return job.queue_rank[:1] == (1,)


def next_target(job: Job, objectives: tuple[Objective, ...], age_s: float) -> tuple[int, float | None]:
    """How many targets of the job are missed for certain, and the age at which its last tasks must have
    started to meet the next one; None when there is no such target."""
    found = slo_targets(job, objectives)
    needed = job.spec.estimate_s if job.has_unclaimed_tasks else 0.0
    for missed, target in enumerate(found):
        if target >= age_s + needed:
            return missed, target - needed
    return len(found), None


def queue_order(
    tables: Tables, settings: Settings, wall_clock_ms: int, has_begun: Callable[[Job], bool] = is_begun
) -> list[Job]:
    """Jobs that wait for no other and have tasks left, in the order in which they get room.

    Oldest first, where a job that has time to its next target counts as younger by the time that it can wait:
    short jobs have little, and were late behind long ones (found on the bench). What lay within its team's
    guarantee when it came goes first, since it need not wait for others. It is decided once: of a team that has
    more than its guarantee the oldest work is promised nothing, and counted as guaranteed it kept urgent jobs
    waiting (found on the bench). What is more urgent than usual counts only against its like, as a team's urgent
    work has its guarantee first: a small stage of a pipeline waited for two minutes behind what had come within other
    guarantees (found on a recorded day). Then priority, and jobs that have missed no target yet before those that
    have. Jobs which cannot meet a target any more stand behind those which can: when a class comes faster than its
    team's limit allows, plain age would make every job late. Not so what is more urgent than usual: the stages of a
    pipeline whose deadline had passed by its estimates waited for four minutes behind refreshes (found on a recorded
    day). How long a job may stand back is bounded: one that waited too long for its beginning stands in the line
    twice, in front for a part of its tasks (`beginning`) and in its ordinary place for the rest.
    """
    if tables.graph.priorities_stale:
        propagate_priorities(tables, settings)
    live = sorted((job for job in tables.jobs.values() if job.is_runnable), key=lambda job: job.ready_revision)
    wanted: dict[tuple[str, bool], tuple[float, float]] = {}
    keyed: list[tuple[tuple[int, bool, bool, int, int, float], Job]] = []
    for job in live:
        spec = job.spec
        # What another cell handed over is promised nothing here, and takes nothing of what its team is promised.
        kinds = (False, True) if effective_priority(job) < STANDARD_RANK else (False,)
        for like in kinds if job.delegated is None else ():
            cores, gpus = wanted.get((spec.team, like), (0.0, 0.0))
            cores, gpus = cores + spec.tasks * spec.cores, gpus + spec.tasks * spec.gpus
            wanted[spec.team, like] = (cores, gpus)
        if job.deferred:
            continue  # counted above: what its team is promised is reckoned with all of its work
        age_s = (wall_clock_ms - job.submitted_ms) / 1000
        back = starvation_rank(has_begun(job), (wall_clock_ms - job.ready_ms) / 1000, settings.lease_s)
        if job.delegated is not None:
            back, job.guaranteed = 2, False
        team = settings.teams.get(spec.team)
        if job.guaranteed is None:
            job.guaranteed = team is not None and within_guarantee(team, cores, gpus)
        missed, start_by_s = next_target(job, settings.objectives, age_s)
        job.starved = back == 0
        if job.starved:
            keyed.append(((0, False, False, -1, 0, float(job.ready_revision)), job))
            back = 2
        start_by = job.ready_ms / 1000 if start_by_s is None else job.submitted_ms / 1000 + start_by_s
        if job.guaranteed and effective_priority(job) < STANDARD_RANK:
            # Also before what goes by age alone: on a day with more work than room that is most of the line, and
            # small urgent stages waited behind it for two minutes (found on a recorded day). The guarantees bound it.
            key = (0, False, False, effective_priority(job), missed, start_by)
        elif back < 2:
            key = (back, False, False, 0, 0, float(job.ready_revision))
        elif missed and start_by_s is None and effective_priority(job) >= STANDARD_RANK:
            # Only the end of all work is at stake: the longest tasks first, so that none is left over.
            key = (back, True, False, 0, 0, -spec.estimate_s)
        else:
            key = (back, False, not job.guaranteed, effective_priority(job), missed, start_by)
        job.queue_rank = key[:-1]
        keyed.append((key, job))
    keyed.sort(key=lambda pair: pair[0])
    return [job for _, job in keyed]


def rotate(jobs: list[Job], parts: int, turn: int) -> list[Job]:
    """The order in which one of `parts` controllers claims: the oldest jobs are dealt out, so that the
    controllers do not all write the same one. Nobody's turn at a job moves by more than `parts` places."""
    rotated: list[Job] = []
    for start in range(0, len(jobs), parts):
        chunk = jobs[start : start + parts]
        shift = turn % len(chunk)
        rotated += chunk[shift:] + chunk[:shift]
    return rotated


# Controllers take the jobs whose images are theirs first, among so many times as many as there are controllers.
DEAL_WINDOW = 4


def deal(jobs: list[Job], parts: int, turn: int, home: Callable[[Job], bool]) -> Iterator[Job]:
    """The order in which one of `parts` controllers claims. Among jobs next to each other that differ by age
    alone, a few at a time, those whose image is at home with it come first: each controller's machines then
    fetch a part of the images only, and a job is mostly one controller's. The others are dealt out."""

    def window_from(start: int) -> list[Job]:
        most = jobs[start : start + DEAL_WINDOW * parts]
        return list(takewhile(lambda job: job.queue_rank == most[0].queue_rank, most))

    start = 0
    while start < len(jobs):
        window = window_from(start)
        start += len(window)
        at_home = [home(job) for job in window]
        yield from compress(window, at_home)
        yield from rotate([job for job, here in zip(window, at_home, strict=True) if not here], parts, turn)
