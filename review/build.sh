#!/bin/sh
# The stand-ins are Python programs of the standard library only: checks that they
# compile, and that what the deploy file's build makes is there.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps/burdockgate || { echo "run the build of the deploy file first" >&2; exit 2; }
exec env PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
END
