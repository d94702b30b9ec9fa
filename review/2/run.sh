#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
for python in python3 /usr/bin/python3; do
    if "$python" -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 9))' 2> /dev/null; then
        exec "$python" -B case.py
    fi
done
echo "python3 (3.9 or later) is missing" > record.txt
exit 2
