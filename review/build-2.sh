#!/bin/sh
# Builds the stand-ins of the cases in review/4 to review/7 into target/. The controllers' program is built by the
# command of deploy/service.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/stand2
