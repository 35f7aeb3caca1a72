#!/bin/sh
# Builds the stand-ins of the cases that have a script (review/lib2/).
# They are Python and use the standard library alone: checked, not compiled.
set -eu
cd "$(dirname "$0")/lib2"
for file in *.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
