#!/bin/sh
# Check that every stand-in of the cases 6 to 10 can be loaded; they need no package.
set -eu
cd "$(dirname "$0")"
for file in stand2/world.py 7/play.py findings-2/sighup-at-start/play.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
