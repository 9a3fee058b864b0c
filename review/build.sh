#!/usr/bin/env bash
# Builds the stand-ins that the cases start: compiles them, so that a fault of their text shows here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]
