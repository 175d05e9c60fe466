#!/usr/bin/env bash
# The stand-ins are Python programs: nothing to compile, but what they import has to be there.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "import review.standins.deployment, review.standins.server"
