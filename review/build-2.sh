#!/bin/sh
# The stand-ins of review/6 to review/10 are Python programs (standard library only) and need no build.
python3 -c "import ast, sys; [ast.parse(open(it).read(), it) for it in sys.argv[1:]]" "$(dirname "$0")"/rig_2.py "$(dirname "$0")"/[6789]/case.py "$(dirname "$0")"/10/case.py
