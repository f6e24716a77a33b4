#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves out the lost answer of the store.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../play.sh" late-check-in "$folder"
