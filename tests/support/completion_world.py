"""A simulated cluster of healthy machines whose controllers restart: no completed task may be started again.

Controllers restart, one or all of them, while they have completions that are not yet committed. Every machine keeps the
results of its tasks until they are cleared or its lease expires, so the next owner can still find each completion.

    python3 -m tests.support.completion_world 1 201          # seeds 1 to 200
"""

from __future__ import annotations

import sys

from tests.conftest import spec
from tests.support.cluster import World, run_steps
from tests.support.cluster_node import Node
from tests.support.cluster_worker import Worker
from tests.support.seeds import run_seeds
from tests.support.takeover_world import PromptWorker, TakeoverNode

MEMBERS = ("c0", "c1", "c2")
MACHINES = 10
MAX_JOBS = 30
STEPS = 500
# Probability that a running task completes in a step.
TASK_END_PROBABILITY = 0.02
# Probabilities in a step: one controller restarts; all restart; an outage of the state service begins or ends.
RESTART_PROBABILITY, RESTART_ALL_PROBABILITY, OUTAGE_PROBABILITY = 0.02, 0.006, 0.004


class ResultKeepingWorker(PromptWorker):
    """A worker that keeps the results of its tasks unless its lease expires."""

    world: CompletionWorld

    def expire(self) -> None:
        if self.lease_expired:
            self.world.kept_completions -= {task for task, _ in self.tasks}
        super().expire()


class CompletionWorld(World):
    """A cluster in which only controllers and the state service fail."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, extra_faults=True, members=MEMBERS, machines=MACHINES)
        self.task_end_probability = TASK_END_PROBABILITY
        # Completed tasks whose completion is stored or can still be read from their machine.
        self.kept_completions: set[str] = set()

    def new_node(self, name: str) -> Node:
        return TakeoverNode(self, name)

    def new_worker(self, name: str) -> Worker:
        return ResultKeepingWorker(self, name)

    def begin_machine_fault(self, node: Node) -> None:
        """Does nothing: no machine fails."""

    def perform_event(self, draw: float, node: Node) -> None:
        if draw < RESTART_PROBABILITY:
            self.restart(node.settings.member)
        elif draw < RESTART_PROBABILITY + RESTART_ALL_PROBABILITY:
            for name in MEMBERS:
                self.restart(name)
        elif draw < RESTART_PROBABILITY + RESTART_ALL_PROBABILITY + OUTAGE_PROBABILITY:
            self.outage = not self.outage
        elif draw < 0.2 and len(self.accepted_jobs) < MAX_JOBS:
            self.last_job_number += 1
            self.submit(node, spec(f"wk-{self.last_job_number:06d}", visits=self.rng.randint(2, 12), cores=0.5))
        self.request_peer_status(node)

    def restart(self, name: str) -> None:
        """Replaces a controller's process by a new one."""
        self.event_counts["restart"] += 1
        self.nodes[name] = self.new_node(name)

    def check_start(self, worker: Worker, task: str) -> None:
        assert task not in self.kept_completions, f"started once more: {task} {worker.name}"
        super().check_start(worker, task)

    def check(self) -> None:
        for worker in self.workers:
            self.kept_completions |= {task for (task, _), (_, cause) in worker.tasks.items() if cause == "done"}
        super().check()


def simulate(seed: int) -> CompletionWorld:
    """Runs the simulation of a seed and checks the invariants after each step."""
    world = CompletionWorld(seed)
    run_steps(world, STEPS)
    return world


if __name__ == "__main__":
    sys.exit(run_seeds(simulate, int(sys.argv[1]), int(sys.argv[2])))
