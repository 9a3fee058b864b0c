"""Imports every module that a controller imports, so that their bytecode is in target/ before the first start."""

import importlib
import os.path
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

for module in (
    "run",
    "sloeswitch.controller",
    "sloeswitch.metrics",
    "sloeswitch.cells.link",
    "sloeswitch.admission.coordinator",
    "sloeswitch.admission.gate",
    "sloeswitch.admission.idle_capacity",
    "anyio._backends._asyncio",
    "uvloop",
):
    importlib.import_module(module)
