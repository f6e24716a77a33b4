#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 has answers of 30,000 bytes.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../play.sh" large-answer "$folder"
