#!/bin/sh
# Exits with 1 if turns that name an answered turn reached no replica, 0 if all did, 2 if the case could not run.
cd "$(dirname "$0")/../.."
exec target/review/standins longchain review/3
