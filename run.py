"""Starts a sloeswitch controller from a checkout, with the libraries that the build put in place."""

import os.path
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [ROOT, os.path.join(ROOT, "target", "deps")]
# The build compiles here all that is imported (deploy/compile.py), since a controller's own disk is not
# writable. Found on the bench: with the package alone compiled, each start compiled the libraries again.
sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")

from sloeswitch.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
