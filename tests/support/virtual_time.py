"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

T = TypeVar("T")


class VirtualTimeSelector(selectors.DefaultSelector):
    """Never blocks: where the loop would wait for a timer, the virtual time advances by that long."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is not None:
            self.time += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.time


def run_in_virtual_time(function: Callable[..., Awaitable[T]], *args: Any) -> T:
    """Runs a coroutine function, whose sleeps take no real time; `anyio.current_time` gives the virtual time."""
    return anyio.run(function, *args, backend_options={"loop_factory": VirtualTimeLoop})
