#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs (stage-2/stage.py and case.py of each case) that use the standard library
# alone, so that nothing is compiled; the check tells early if one cannot run here. Of the project, the scripts start only what the deploy
# file builds.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in stage-2/stage.py [0-9]*/case.py; do
    python3 - "$file" <<'PYTHON'
import ast
import sys

ast.parse(open(sys.argv[1]).read(), sys.argv[1])
PYTHON
done
echo "stand-ins ready"
