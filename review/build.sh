#!/usr/bin/env bash
# Checks that the stand-ins compile; they need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/world.py */case.py
