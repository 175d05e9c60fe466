#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python with the standard library alone, and
# use none of the project's own stand-ins, so this only checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standins-2 exec python3 -c "import harness"
