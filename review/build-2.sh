#!/bin/sh
# Builds every stand-in that the cases start: they are Python programs without packages, which are compiled here.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/common-2/*.py review/[0-9]*/case.py
