"""The order in which each controller goes through the queue to claim tasks.

Every controller uses a different order, so that they do not all write to the same job. The position of a job differs
from its position in the queue by less than AFFINITY_WINDOW_PER_CONTROLLER times the number of controllers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import compress, takewhile

from sloeswitch.core.records import Job

# A controller first claims the jobs whose images have affinity to it, within windows of consecutive jobs. This limits
# the size of a window, in jobs per controller.
AFFINITY_WINDOW_PER_CONTROLLER = 4


def rotate(jobs: list[Job], controller_count: int, position: int) -> list[Job]:
    """Splits the queue into chunks of one job per controller and rotates each chunk by `position` jobs.

    Each controller therefore starts at a different one of the oldest jobs, and no job leaves its chunk.

    Args:
        jobs: The jobs in the order of the queue.
        controller_count: The number of controllers.
        position: The index of this controller among them.
    """
    rotated: list[Job] = []
    for start in range(0, len(jobs), controller_count):
        chunk = jobs[start : start + controller_count]
        shift = position % len(chunk)
        rotated += chunk[shift:] + chunk[:shift]
    return rotated


def order_by_affinity(
    jobs: list[Job], controller_count: int, position: int, has_image_affinity: Callable[[Job], bool]
) -> Iterator[Job]:
    """The order in which one controller claims the jobs.

    Splits the queue into windows of consecutive jobs of equal rank. Within a window, jobs whose image has affinity to
    this controller come first; the others are rotated. The machines of a controller then fetch only some of the images,
    and most jobs are claimed by a single controller.

    Args:
        jobs: The jobs in the order of the queue.
        controller_count: The number of controllers.
        position: The index of this controller among them.
        has_image_affinity: Whether the image of a job has affinity to this controller.
    """
    start = 0
    while start < len(jobs):
        window = _window(jobs, start, AFFINITY_WINDOW_PER_CONTROLLER * controller_count)
        start += len(window)
        affinities = [has_image_affinity(job) for job in window]
        yield from compress(window, affinities)
        yield from rotate(
            [job for job, has_affinity in zip(window, affinities, strict=True) if not has_affinity],
            controller_count,
            position,
        )


def _window(jobs: list[Job], start: int, limit: int) -> list[Job]:
    """At most `limit` consecutive jobs of equal rank, from the index `start` on."""
    window = jobs[start : start + limit]
    return list(takewhile(lambda job: job.queue_rank == window[0].queue_rank, window))
