"""The digests of the seeded simulations are reproducible, and a change of behaviour changes them."""

from __future__ import annotations

import pytest

from sloeswitch.actors import users
from sloeswitch.http import Answer
from tests.support import trace


@pytest.fixture(autouse=True)
def short_simulations(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(trace, "STEPS", 60)
    monkeypatch.setattr(trace, "AUTOSCALING_STEPS", 120)


@pytest.mark.parametrize("world", trace.SIMULATIONS)
def test_the_same_seed_gives_the_same_digest_and_another_seed_another(world: str) -> None:
    simulate = trace.SIMULATIONS[world]
    first = simulate(3)
    assert first.counts["transaction"] > 0
    assert simulate(3).digest == first.digest
    assert simulate(4).digest != first.digest


def test_a_changed_answer_to_users_changes_the_digest(monkeypatch: pytest.MonkeyPatch) -> None:
    simulate = trace.SIMULATIONS["random"]
    before = simulate(3).digest
    monkeypatch.setattr(users, "error_answer", lambda status, text: Answer(status, text.encode()))
    assert simulate(3).digest != before
