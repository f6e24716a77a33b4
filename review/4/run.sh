#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves out the SIGTERM.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../play.sh" pipelined-stop "$folder"
