"""In which order each of several controllers claims: the queue, dealt out so that they do not all write the same job.

No job's place moves by more than a few times the number of controllers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import compress, takewhile

from sloeswitch.core.records import Job

# A controller takes the jobs whose images have affinity to it first, among so many times as many jobs as there are
# controllers.
AFFINITY_WINDOW_PER_CONTROLLER = 4


def rotate(jobs: list[Job], controllers: int, turn: int) -> list[Job]:
    """The order in which one of so many controllers claims the jobs; `turn` is its place among them.

    Each begins at another of the oldest jobs. No job moves by as many places as there are controllers.
    """
    rotated: list[Job] = []
    for start in range(0, len(jobs), controllers):
        chunk = jobs[start : start + controllers]
        shift = turn % len(chunk)
        rotated += chunk[shift:] + chunk[:shift]
    return rotated


def deal(jobs: list[Job], controllers: int, turn: int, has_image_affinity: Callable[[Job], bool]) -> Iterator[Job]:
    """The order in which one of so many controllers claims the jobs, by the affinity of their images to it.

    Among jobs next to each other that differ by age alone, a few at a time, those whose image has affinity to this
    controller come first: its machines then fetch a part of the images only, and a job is mostly one controller's. The
    others are rotated.
    """
    start = 0
    while start < len(jobs):
        window = _window(jobs, start, AFFINITY_WINDOW_PER_CONTROLLER * controllers)
        start += len(window)
        near = [has_image_affinity(job) for job in window]
        yield from compress(window, near)
        yield from rotate([job for job, is_near in zip(window, near, strict=True) if not is_near], controllers, turn)


def _window(jobs: list[Job], start: int, limit: int) -> list[Job]:
    """At most so many jobs from a place in the queue on that differ by age alone."""
    window = jobs[start : start + limit]
    return list(takewhile(lambda job: job.queue_rank == window[0].queue_rank, window))
