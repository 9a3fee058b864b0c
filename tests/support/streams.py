"""In-memory connections for tests without a network."""

from __future__ import annotations

from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.stapled import StapledObjectStream

from sloeswitch.mesh import Mesh


def connect_to(mesh: Mesh, group: TaskGroup) -> Any:
    """Returns the client end of a connection whose server end is served by a mesh."""
    there_send, here_receive = anyio.create_memory_object_stream[bytes](9)
    here_send, there_receive = anyio.create_memory_object_stream[bytes](9)
    stream: Any = StapledObjectStream(there_send, there_receive)
    group.start_soon(mesh.serve, stream)
    return StapledObjectStream(here_send, here_receive)
