#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can be started. They are Python
# and use the libraries that the build line of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/deps/.complete ] || {
    echo "run the build line of deploy/system.toml first" >&2
    exit 1
}
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 python3 -c '
import importlib
import pathlib

for path in sorted(pathlib.Path("review/lib2").glob("*.py")):
    importlib.import_module(f"review.lib2.{path.stem}")
for number in range(6, 11):
    path = pathlib.Path(f"review/{number}/case.py")
    if not path.exists():
        continue
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
echo "the stand-ins of cases 6 to 10 can be started"
