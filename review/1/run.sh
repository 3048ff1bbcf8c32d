#!/bin/sh
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/run.py"
