#!/bin/sh
# The stand-ins are Python programs (3.11 or later, standard library alone) and need no build: this only checks that
# Python can compile them. The entry VMs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in glob.glob("standins/*.py") + glob.glob("[0-9]/*.py"):
    compile(open(name, encoding="utf-8").read(), name, "exec")
CHECK
