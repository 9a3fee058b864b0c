"""Starts a sloeswitch controller from a checkout, with the libraries that the build put in place."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "target" / "deps"))
# The build compiles the package here, since a controller's own disk is not writable.
sys.pycache_prefix = str(ROOT / "target" / "pycache")

from sloeswitch.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
