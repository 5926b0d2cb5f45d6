#!/bin/sh
# Exits with 1 if a request with a withdrawn key ran, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.."
exec target/review/standins revoked review/1
