#!/usr/bin/env bash
# Compiles the project's stand-ins and those of the cases; the libraries come from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q cicadapond review
PYTHONPATH=target/deps:. python3 -c "import cicadapond.platform.standin"
