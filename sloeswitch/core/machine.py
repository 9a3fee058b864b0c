"""One machine and the attempts on it, as its reports and this controller's decisions tell."""

from __future__ import annotations

from dataclasses import dataclass, field

from sloeswitch.core.quota import ResourceUsage
from sloeswitch.wire import JobSpec, task_name

PENDING, RUNNING, ENDED, FETCHING = "pending", "running", "ended", "fetching"
TASK_STATES = {"fetching", "gathering", "running", "flushing", "ended"}

Task = tuple[str, int]


@dataclass
class Attempt:
    """One attempt on one machine, from the decision to start it until it is gone."""

    job: str
    index: int
    number: int
    spec: JobSpec
    state: str = PENDING
    reported: bool = False
    sent_sequence: int | None = None
    kill_grace_s: float | None = None
    placed_at: float = 0.0
    killed_at: float = 0.0
    running_at: float | None = None

    def __post_init__(self) -> None:
        self.name = task_name(self.job, self.index)

    @property
    def task(self) -> Task:
        """The job, and the task's index in it."""
        return self.job, self.index

    @property
    def key(self) -> tuple[str, int]:
        """What reports call the attempt."""
        return self.name, self.number


@dataclass
class Machine:
    """One machine, as its reports tell it."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int = 0
    report_sequence: int = 0
    # The last session whose lease is surely over: nothing that it reported can be true any more.
    expired_agent_epoch: int = 0
    # Reports under tokens from here on are ours: we have owned the machine since that view.
    owned_since_token: int = 0
    reconciled: bool = False
    # Nothing of an earlier owner can be on it any more.
    accounted_for: bool = False
    # Whether the last report came from a machine seen to have received the answer before it.
    reachable: bool = False
    reachable_at: float = float("-inf")
    answered_at: float = float("-inf")
    last_heard_at: float = float("-inf")
    # The last report of its own accord; the first word of any kind under this ownership counts as one.
    reported_at: float | None = None
    lease_expires_at: float = float("inf")
    preemption_notice_s: float | None = None
    draining: bool = False
    # Since when users have been told of a cancellation of which a task may be on it. It outlasts our books'
    # word that the lease is over: a machine that hangs gives its tasks up only when it goes on.
    cancelled_since: float | None = None
    surplus: bool = False
    attempts: dict[Task, Attempt] = field(default_factory=dict)
    # The same attempts by what reports call them, what they use together, and their images.
    attempts_by_key: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    usage: ResourceUsage = field(default_factory=ResourceUsage)
    memory: float = 0.0
    image_attempts: dict[str, int] = field(default_factory=dict)
    # Exited attempts to be cleared: (task name, attempt) -> whether the result is a completion.
    ended_attempts: dict[tuple[str, int], bool] = field(default_factory=dict)
    # Attempts the worker reports that are not ours to keep.
    foreign_attempts: dict[tuple[str, int], None] = field(default_factory=dict)
    images: dict[str, None] = field(default_factory=dict)

    @property
    def is_recovered(self) -> bool:
        """Whether what is on the machine is known."""
        return self.reconciled or self.accounted_for
