#!/bin/sh
# Builds the stand-ins of the cases from 11 on. The program under test is built by the command of
# the deploy file.
set -e
cd "$(dirname "$0")/kit3"
go build -o bin/lab .
