#!/usr/bin/env bash
# Checks the stand-ins of the second review. They need nothing but Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path("standins-2").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
