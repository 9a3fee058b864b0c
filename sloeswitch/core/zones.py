"""Which zones look cut off from this controller."""

from __future__ import annotations

from collections.abc import Iterable

from sloeswitch.core.registry import Machine

# A zone looks cut off when at least this part of its machines fell silent together, and there are so many.
SILENT_SHARE = 0.75
LEAST_MACHINES = 2


class ZoneWatch:
    """Remembers zones of which nearly all machines were silent at once.

    Silent machines are deleted within seconds, so that the zone is empty soon after and would be the first in
    which their replacements are rented, where nothing reaches those either (found on the bench).
    """

    def __init__(self, late_s: float, memory_s: float) -> None:
        self.late_s = late_s
        self.memory_s = memory_s
        self.cut_until: dict[str, float] = {}

    def observe(self, machines: Iterable[Machine], now: float) -> None:
        """Looks at the machines that were heard under the present view."""
        heard: dict[str, int] = {}
        silent: dict[str, int] = {}
        for machine in machines:
            if machine.heard:
                heard[machine.zone] = heard.get(machine.zone, 0) + 1
                silent[machine.zone] = silent.get(machine.zone, 0) + (now - machine.heard_at > self.late_s)
        if heard and sum(silent.values()) >= SILENT_SHARE * sum(heard.values()):
            return  # more likely it is this controller that is cut off
        for zone, count in heard.items():
            if count >= LEAST_MACHINES and silent[zone] >= SILENT_SHARE * count:
                self.cut_until[zone] = now + self.memory_s

    def cut(self, now: float) -> set[str]:
        """Zones that looked cut off not long ago."""
        self.cut_until = {zone: until for zone, until in self.cut_until.items() if now < until}
        return set(self.cut_until)
