"""The order of ready work: oldest first, as in dwork, within the exceptions the deployments need.

Job join counters start at zero, since protocol jobs name no prerequisites, so an accepted job is
ready. The ready list is rebuilt from the stored tables; nothing of it is stored.
"""

from __future__ import annotations

from sloeswitch.core.quota import within_guarantee
from sloeswitch.core.tables import LIVE, Job, Tables
from sloeswitch.settings import Team
from sloeswitch.wire import URGENCIES

RANK = {name: number for number, name in enumerate(URGENCIES)}


def order(tables: Tables, teams: dict[str, Team]) -> list[Job]:
    """Live jobs with tasks left, in the order in which they get room."""
    live = sorted((job for job in tables.jobs.values() if job.status == LIVE), key=lambda job: job.born)
    wanted: dict[str, tuple[float, float]] = {}
    keyed = []
    for job in live:
        spec = job.spec
        cores, gpus = wanted.get(spec.team, (0.0, 0.0))
        count = job.left
        cores, gpus = cores + count * spec.cores, gpus + count * spec.gpus
        wanted[spec.team] = (cores, gpus)
        team = teams.get(spec.team)
        guaranteed = team is not None and within_guarantee(team, cores, gpus)
        keyed.append(((RANK[spec.priority], not guaranteed, job.born), job))
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
