"""Which machine gets a task."""

from __future__ import annotations

from sloeswitch.core import placement
from sloeswitch.core import tables as t
from tests.conftest import Store, spec


def test_the_image_at_hand_then_no_other_fetch_then_the_cheap_and_full(store: Store) -> None:
    """Failure found on the bench: images fetched at once share the rate, and guaranteed work began too late."""

    def room(name: str, spot: bool, cores: float, image: str, fetching: int) -> placement.Room:
        return placement.Room(name, "small", "a", spot, cores, 0.0, 16.0, {image}, fetching)

    rooms = [
        room("busy", True, 2.0, "img-2", 1),
        room("quiet", False, 8.0, "img-2", 0),
        room("has", False, 8.0, "img-1", 2),
        room("cheap", True, 8.0, "img-2", 0),
    ]
    store.job(spec(visits=9))
    job = store.tables.jobs["wk-000001"]
    assert isinstance(job, t.Job)
    assert [found.machine for found in placement.fitting(job.spec, rooms)] == ["has", "cheap", "quiet", "busy"]
    placement.place(job, 0b111111111, rooms)
    # What is placed is a fetch more, for the next job.
    assert [found.fetching for found in rooms] == [1, 1, 2, 1]
