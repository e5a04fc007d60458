#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start. All of it is Python: the project's own
# stand-ins come with the build of the deploy file, the drivers are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/filbertyard || {
  echo "run the build of deploy/system.toml first" >&2
  exit 2
}
PYTHONPATH=target/deps python3 -c "import filbertyard.platform.standins"
python3 -m py_compile review/driver_2.py
