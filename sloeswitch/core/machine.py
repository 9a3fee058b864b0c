"""Records of one machine and of the attempts on it.

`core.machine_registry` owns them and keeps their sums up; `core.reconciliation` brings them up to date
with reports. Times named `_at`, `_since` are seconds of the controller's monotonic clock; amounts of memory are in GB.
The words of states, causes and verbs are those of the worker protocol (PROTOCOL, "Workers").
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from sloeswitch.core.quota import ResourceUsage
from sloeswitch.wire import JobSpec, task_name


class AttemptState(StrEnum):
    """The state of an attempt; all values but `PENDING` are words of reports."""

    # Decided on by this controller, and in no report yet.
    PENDING = "pending"
    # Waits for its image.
    FETCHING = "fetching"
    # Of a gang: waits for the other tasks of its attempt.
    GATHERING = "gathering"
    RUNNING = "running"
    # Was stopped, and saves its progress.
    FLUSHING = "flushing"
    ENDED = "ended"


# The states that reports may show, by their words.
REPORTED_STATES = {str(state): state for state in AttemptState if state != AttemptState.PENDING}


class EndCause(StrEnum):
    """Why an attempt ended, as reports say it; only the causes that a controller acts on.

    After any other one (a command, a lost gang, a refused start) the task is simply startable again.
    """

    DONE = "done"
    ERROR = "error"
    # A refused start: the worker finds no such job or task.
    NO_SUCH_TASK = "no_such"


class TaskId(NamedTuple):
    """A task: its job, and its index among the job's tasks."""

    job: str
    task_index: int


class AttemptKey(NamedTuple):
    """What reports and commands call an attempt: the task's name, and the number of the attempt."""

    task: str
    number: int


@dataclass
class Attempt:
    """One attempt on one machine, from the decision to start it until it is gone.

    Attributes:
        name: The task's name in reports.
        task: The task that is attempted.
        key: What reports call the attempt.
        reported: Whether a report of the machine has listed it.
        sent_sequence: The heartbeat whose answer carried the start; None while it is to be sent (again).
        kill_grace_s: The time to save that goes with the command to stop it; None while it is to go on.
        placed_at: When the start was decided on, or the attempt was adopted.
        killed_at: When the stop was decided on.
        running_at: When a report first showed it to run.
    """

    job: str
    index: int
    number: int
    spec: JobSpec
    state: AttemptState = AttemptState.PENDING
    reported: bool = False
    sent_sequence: int | None = None
    kill_grace_s: float | None = None
    placed_at: float = 0.0
    killed_at: float = 0.0
    running_at: float | None = None

    def __post_init__(self) -> None:
        self.name = task_name(self.job, self.index)
        # Made once: they are the keys of the machine's attempts, and a take-over adds thousands of these.
        self.task = TaskId(self.job, self.index)
        self.key = AttemptKey(self.name, self.number)


@dataclass
class Machine:
    """One machine, by its reports and by what this controller decided on.

    Written by `MachineRegistry`, by `reconcile` and by the machines actor; the autoscaler sets `surplus` only.
    """

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    # The newest report that was applied: the worker's epoch, which grows each time its lease expires, and the
    # sequence of its messages.
    agent_epoch: int = 0
    report_sequence: int = 0
    # The last epoch whose lease is surely over: nothing that it reported can be true any more.
    expired_agent_epoch: int = 0
    # Reports under tokens from here on are ours: we have owned the machine since that view.
    owned_since_token: int = 0
    # Since when this process has owned it without a break that it knows of, and whether it did so before this.
    watched_since: float = float("-inf")
    formerly_owned: bool = False
    reconciled: bool = False
    # Nothing of an earlier owner can be on it any more.
    accounted_for: bool = False
    # Whether the last report came from a machine seen to have received the answer before it.
    reachable: bool = False
    reachable_at: float = float("-inf")
    answered_at: float = float("-inf")
    last_heard_at: float = float("-inf")
    # The last report of its own accord; the first message of any kind under this ownership counts as one.
    reported_at: float | None = None
    # When its lease is surely over, so that its tasks are gone.
    lease_expires_at: float = float("inf")
    # Seconds until the cloud takes the machine away; None while it does not.
    preemption_notice_s: float | None = None
    draining: bool = False
    # When users were first confirmed a cancellation of which a task may still be on it. It outlasts the end of the
    # lease in our state: a machine that hangs gives its tasks up only when it goes on.
    cancelled_since: float | None = None
    # Not needed: to be emptied and deleted.
    surplus: bool = False
    attempts: dict[TaskId, Attempt] = field(default_factory=dict)
    # The same attempts by what reports call them, what they use together, and how many have each image.
    attempts_by_key: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    usage: ResourceUsage = field(default_factory=ResourceUsage)
    used_memory_gb: float = 0.0
    image_attempts: dict[str, int] = field(default_factory=dict)
    # Exited attempts to be cleared, each with whether the result is a completion.
    ended_attempts: dict[AttemptKey, bool] = field(default_factory=dict)
    # Attempts the worker reports that are not ours to keep; a dict, since its order is that of the commands.
    foreign_attempts: dict[AttemptKey, None] = field(default_factory=dict)
    # Images that the machine has, the one used last at the end.
    images: dict[str, None] = field(default_factory=dict)

    @property
    def is_recovered(self) -> bool:
        """Whether what may be on the machine is known, by its report or since nothing can be."""
        return self.reconciled or self.accounted_for
