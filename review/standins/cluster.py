"""Starts, kills and restarts the controllers of one cluster, and asks them as users do."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shlex
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from httpd import Connection

ROOT = Path(__file__).resolve().parents[2]
POLL_TIMEOUT_S = 2.0
SUBMIT_TIMEOUT_S = 5.0
SUBMIT_FOR_S = 60.0
Answer = tuple[int, Any] | None
PORTS = (20_000, 32_000)
# A file of the controllers, by its extension.
LOG = "log"


def free_ports(count: int) -> list[int]:
    """Ports of 127.0.0.1 that are free now, outside the range from which clients' ports are taken.

    A controller that is started again needs its port, which must not be in use by a connection meanwhile.
    """
    found: list[int] = []
    candidates = list(range(*PORTS))
    random.shuffle(candidates)
    for port in candidates:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


class Recorder:
    """Writes `record.txt`: what was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._started:7.2f} {text}\n")
        self._file.flush()


@dataclass
class Node:
    """One controller: its settings file, its ports and its process."""

    member: str
    config: Path
    port: int
    process: subprocess.Popen[bytes] | None = None


class Cluster:
    """The controllers, as the deploy file starts them; `settings` returns the file's part that all share."""

    def __init__(self, zones: list[str], deployment: str, ports: Callable[[], int], record: Recorder) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="sloeswitch-review-"))
        self.state_port, self.cloud_port = ports(), ports()
        members = [(f"worker-{number}", zone, ports(), ports()) for number, zone in enumerate(zones)]
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["run"]
        self.command = shlex.split(run)
        self.nodes: dict[str, Node] = {}
        for member, zone, port, mesh in members:
            text = f'member = "{member}"\nzone = "{zone}"\nbind = "127.0.0.1:{port}"\nmesh_addr = "127.0.0.1:{mesh}"\n'
            for other, other_zone, _, other_mesh in members:
                if other != member:
                    text += (
                        f'[[siblings]]\nmember = "{other}"\nzone = "{other_zone}"\naddress = "127.0.0.1:{other_mesh}"\n'
                    )
            text += f'[outside]\ncloud = "127.0.0.1:{self.cloud_port}"\nstate = "127.0.0.1:{self.state_port}"\n'
            config = self.folder / f"{member}.toml"
            config.write_text(text + deployment, encoding="utf-8")
            self.nodes[member] = Node(member, config, port)

    @property
    def ports(self) -> dict[str, int]:
        """The ports for users and workers, by controller."""
        return {node.member: node.port for node in self.nodes.values()}

    # -- processes

    def start(self, member: str) -> None:
        """Starts a controller's process."""
        node = self.nodes[member]
        with (self.folder / f"{member}.{LOG}").open("ab") as log:
            node.process = subprocess.Popen(
                [*self.command, str(node.config)],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.record(f"{member} started: pid {node.process.pid}")

    def kill(self, member: str) -> None:
        """Kills a controller's process, as the platform does: without a signal that it could handle."""
        process = self.nodes[member].process
        if process is not None:
            process.kill()
            process.wait()
            self.record(f"{member} killed")

    def close(self) -> None:
        """Ends all processes, appends the end of their logs to the record, and removes the folder."""
        for member, node in self.nodes.items():
            if node.process is not None and node.process.poll() is not None:
                self.record(f"{member} had ended by itself: {node.process.returncode}")
            self.kill(member)
            log = self.folder / f"{member}.{LOG}"
            if log.exists():
                for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[-60:]:
                    self.record(f"log of {member}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)

    # -- users

    async def ask(self, member: str, method: str, path: str, body: Any, timeout_s: float) -> Answer:
        """Sends one request to one controller over a connection of its own."""
        connection = Connection(self.nodes[member].port)
        try:
            return await connection.request(method, path, body, timeout_s)
        finally:
            connection.close()

    async def poll(self, job: str) -> dict[str, Answer]:
        """Asks all controllers for the state of a job at once, waiting 2 s for each; returns all answers."""
        path = f"/submissions/{job}"
        answers = await asyncio.gather(*(self.ask(name, "GET", path, None, POLL_TIMEOUT_S) for name in self.nodes))
        return dict(zip(self.nodes, answers, strict=True))

    async def submit(self, spec: dict[str, Any]) -> bool:
        """Submits a job, at one controller after the other, for up to 60 s; returns whether it was accepted."""
        return await self._repeat("/submissions", spec, spec["id"], (200, 201))

    async def cancel(self, job: str) -> bool:
        """Cancels a job in the same manner; returns whether that was confirmed."""
        return await self._repeat(f"/submissions/{job}/cancel", {}, job, (200,))

    async def _repeat(self, path: str, body: Any, job: str, accepted: tuple[int, ...]) -> bool:
        ends_at = time.monotonic() + SUBMIT_FOR_S
        members = list(self.nodes)
        number = 0
        while time.monotonic() < ends_at:
            member = members[number % len(members)]
            number += 1
            answer = await self.ask(member, "POST", path, body, SUBMIT_TIMEOUT_S)
            self.record(f"user: POST {path} {job} at {member}: {answer}")
            if answer is not None and (answer[0] in accepted or answer[0] in (400, 404, 422)):
                return answer[0] in accepted
            await asyncio.sleep(1.0)
        return False

    async def wait_ready(self, member: str, timeout_s: float) -> bool:
        """Waits until a controller answers its health check with 200; returns whether it did."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            answer = await self.ask(member, "GET", "/healthz", None, 1.0)
            if answer is not None and answer[0] == 200:
                self.record(f"{member} is healthy")
                return True
            await asyncio.sleep(0.5)
        return False
