#!/bin/sh
# Builds the stand-ins of the scripts. They are Python modules: the project's own come
# with the build of the deploy file, those of this folder are compiled for a check.
set -eu
cd "$(dirname "$0")/.."
test -f target/deps/filbertyard/platform/standins.py || {
    echo "build the deploy file first: target/deps has no filbertyard" >&2
    exit 1
}
PYTHONPATH=target/deps:review PYTHONPYCACHEPREFIX=target/review-cache \
    python3 -c 'import harness'
for file in review/*/case.py; do
    PYTHONPYCACHEPREFIX=target/review-cache python3 -m py_compile "$file"
done
