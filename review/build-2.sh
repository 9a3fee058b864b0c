#!/usr/bin/env bash
# Compiles the stand-ins of the second review. Run it after the build of the deploy file; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -I -m compileall -q review/standins2
