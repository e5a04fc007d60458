#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start. All of it is Python: the project's own
# stand-ins come with the build of the deploy file, and the driver is only parsed.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/filbertyard || {
  echo "run the build of deploy/system.toml first" >&2
  exit 2
}
PYTHONPATH=target/deps python3 -c "import filbertyard.platform.standins"
python3 -B -c "import ast, pathlib; ast.parse(pathlib.Path('review/driver_2.py').read_text())"
