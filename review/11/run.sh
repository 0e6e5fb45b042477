#!/bin/sh
# See claim.txt. TROUBLE=0 does the same without the unreadable entry.
exec python3 "$(dirname "$0")/case.py"
