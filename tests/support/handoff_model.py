"""Exhaustive exploration of all orders of events of one job's handoffs.

A state consists of what the origin and the target have stored and of every message sent so far. Messages are never
removed from the network, so that each may be lost (never delivered), delayed, or delivered again at any time. Neither
side keeps unstored state, so that a crash needs no event: it only means that some event does not happen. A stored
change whose answer was lost is the same event as one whose answer arrived. Changes are conditional on what was read, so
that a change that is applied late either is the event itself or fails.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from sloeswitch.cells import delegation as target_side
from sloeswitch.cells import handoff as origin_side
from sloeswitch.cells.delegation import TargetRecord
from sloeswitch.cells.handoff import OriginRow, Result
from sloeswitch.cells.messages import FINAL_ANSWERS, AnswerMessage, RequestMessage
from sloeswitch.cells.policy import MovePolicy

ORIGIN, TARGET, JOB = "north", "south", "wk-000001"
IN_ORIGIN = 0
NOTHING_STORED = TargetRecord()


class BrokenRuleError(AssertionError):
    """An event violates a rule of docs/cells.md."""


@dataclass(frozen=True)
class State:
    """What both cells have stored, what was sent, and what happened."""

    row: OriginRow
    record: TargetRecord = NOTHING_STORED
    requests: frozenset[RequestMessage] = frozenset()
    answers: frozenset[AnswerMessage] = frozenset()
    last_number: int = 0
    running_in_origin: bool = False
    # Where tasks of the job ever started: IN_ORIGIN, or the number of a handoff.
    began: frozenset[int] = frozenset()
    completed: bool = False
    # The final status that was answered to the user.
    reported: Result | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the job has ended and no handoff of it is on record in either cell."""
        return self.row.result is not None and not self.row.open_handoffs and self.record.delegation is None


@dataclass(frozen=True)
class Model:
    """The events that may follow a state. `max_handoffs`: how often the job may be moved."""

    policy: MovePolicy
    max_handoffs: int = 2

    @property
    def start(self) -> State:
        """The state after the job was accepted."""
        return State(OriginRow(ORIGIN, JOB, self.policy))

    def next_states(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields each possible event and the state after it."""
        yield from self._origin_events(state)
        yield from self._target_events(state)
        for request in state.requests:
            for has_capacity in (True, False):
                yield (
                    f"delivered {request} has_capacity={has_capacity}",
                    self._deliver_request(state, request, has_capacity),
                )
        for answer in state.answers:
            yield f"delivered {answer}", self._deliver_answer(state, answer)

    def _origin_events(self, state: State) -> Iterator[tuple[str, State]]:
        row = state.row
        if state.last_number < self.max_handoffs and origin_side.can_move(row, TARGET, not state.running_in_origin):
            number = state.last_number + 1
            yield "moved", replace(state, row=origin_side.move(row, TARGET, number), last_number=number)
        for withdraw in (False, True):
            sent = frozenset(message for _, message in origin_side.requests(row, withdraw))
            if not sent <= state.requests:
                yield f"asked withdraw={withdraw}", replace(state, requests=state.requests | sent)
        if row.startable and not state.running_in_origin:
            began = replace(state, row=origin_side.record_origin_claim(row), running_in_origin=True)
            yield "began in origin", self._begun(began, IN_ORIGIN)
        if state.running_in_origin:
            yield "returned in origin", replace(state, running_in_origin=False)
            ended = origin_side.complete_in_origin(row)
            yield "done in origin", replace(state, row=ended, running_in_origin=False, completed=True)
        if row.policy is MovePolicy.REPEATABLE and row.moved_to is not None:
            yield "recalled", replace(state, row=origin_side.recall(row))
        if row.result is None and not row.cancelling:
            yield "cancellation", replace(state, row=origin_side.request_cancellation(row))
        if row.result is not None and state.reported is None:
            # Tasks in the origin are stopped by the origin itself once the result is stored.
            yield "reported", replace(state, reported=row.result, running_in_origin=False)

    def _target_events(self, state: State) -> Iterator[tuple[str, State]]:
        stored = state.record.delegation
        if stored is None:
            return
        if stored.startable:
            begun = replace(state, record=replace(state.record, delegation=stored.begin()))
            yield "began at target", self._begun(begun, stored.handoff.number)
        for event, after in (("withdrawn", stored.withdraw()), ("stopped", stored.confirm_stopped())):
            if after != stored:
                yield event, replace(state, record=replace(state.record, delegation=after))
        if stored.state is target_side.DelegationState.BEGUN:
            done = replace(state.record, delegation=stored.complete())
            yield "done at target", replace(state, record=done, completed=True)

    @staticmethod
    def _begun(state: State, place: int) -> State:
        if state.reported is Result.CANCELLED:
            raise BrokenRuleError("a task started after the cancellation was confirmed")
        return replace(state, began=state.began | {place})

    @staticmethod
    def _deliver_request(state: State, message: RequestMessage, has_capacity: bool) -> State:
        decision = target_side.decide(state.record, message.handoff, message.request, has_capacity)
        answers = state.answers
        if decision.answer in FINAL_ANSWERS:  # other answers change nothing at the origin
            answers |= {AnswerMessage(message.handoff, TARGET, decision.answer)}
        return replace(state, record=decision.record, answers=answers)

    @staticmethod
    def _deliver_answer(state: State, message: AnswerMessage) -> State:
        row = origin_side.apply_answer(state.row, message)
        acknowledgement = origin_side.acknowledgement(message)
        requests = state.requests if acknowledgement is None else state.requests | {acknowledgement}
        return replace(state, row=row, requests=requests)


def check(state: State, before: State) -> None:
    """Checks the rules of docs/cells.md for one event."""
    row, stored = state.row, state.record.delegation
    if row.policy is not MovePolicy.REPEATABLE and len(state.began) > 1:
        raise BrokenRuleError("a job that may start in one cell only started in several")
    if row.policy is MovePolicy.NEVER and state.last_number:
        raise BrokenRuleError("a job that must not move was moved")
    if before.row.result is not None and row.result is not before.row.result:
        raise BrokenRuleError("the result changed")
    if row.result is Result.DONE and not state.completed:
        raise BrokenRuleError("the result is done but not all tasks were completed")
    if state.reported is Result.CANCELLED and stored is not None and not stored.final:
        raise BrokenRuleError("the cancellation was confirmed while a task may start or run in the target")
    if row.moved_to is None and row.result is None and not row.recalled and stored is not None and stored.startable:
        raise BrokenRuleError("the target may start a job whose handoff the origin has not on record")


@dataclass(frozen=True)
class Exploration:
    """The number of reachable states, and of those from which the job cannot end."""

    states: int
    stuck: int


def explore(model: Model) -> Exploration:
    """Explores every order of events; raises BrokenRuleError with the events that lead to a violated rule."""
    start = model.start
    came_from: dict[State, tuple[State, str] | None] = {start: None}
    leads_to: dict[State, list[State]] = {}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        try:
            for event, after in model.next_states(state):
                check(after, state)
                leads_to.setdefault(after, []).append(state)
                if after not in came_from:
                    came_from[after] = (state, event)
                    queue.append(after)
        except BrokenRuleError as error:
            raise BrokenRuleError(f"{error}, after {_path(came_from, state)}") from None
    return Exploration(len(came_from), len(came_from) - len(_ending(came_from, leads_to)))


def _path(came_from: dict[State, tuple[State, str] | None], state: State) -> list[str]:
    events: list[str] = []
    step = came_from[state]
    while step is not None:
        events.append(step[1])
        step = came_from[step[0]]
    return events[::-1]


def _ending(states: dict[State, tuple[State, str] | None], leads_to: dict[State, list[State]]) -> set[State]:
    """The states from which some order of events ends the job in both cells."""
    ending = {state for state in states if state.has_ended}
    queue = deque(ending)
    while queue:
        for before in leads_to.get(queue.popleft(), ()):
            if before not in ending:
                ending.add(before)
                queue.append(before)
    return ending


def main() -> None:
    """Explores every order of events of up to two handoffs, for each policy; the slowest takes half a minute."""
    for policy in MovePolicy:
        exploration = explore(Model(policy))
        print(f"{policy.value}: {exploration.states} states, {exploration.stuck} from which the job cannot end")


if __name__ == "__main__":
    main()
