#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves out what the faulty server does.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../play.sh" second-copy "$folder"
