#!/usr/bin/env bash
# Puts the libraries and the package under target/deps, which is on Python's path.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps/.libraries
if ! cmp -s deploy/requirements.txt "$stamp"; then
  python3 -m pip install -q --upgrade --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
rm -rf target/deps/guavapin
cp -r src/guavapin target/deps/guavapin
python3 -m compileall -q target/deps/guavapin
