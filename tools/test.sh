#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt run separately: their results
# are printed, but do not fail the run.
set -eu
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
status=0
if [ -n "$known" ]; then
  ctest --test-dir build -j 6 --output-on-failure -E "^($known)\$" || status=$?
  echo "Known failures (KNOWN-RED.txt), run without effect on the result:"
  ctest --test-dir build -j 6 -R "^($known)\$" | grep -E "Passed|Failed|\*\*\*" || true
else
  ctest --test-dir build -j 6 --output-on-failure || status=$?
fi
echo "Summary of the fault matrix, the mutants and the golden sessions:"
build/tests/fault_matrix --table=build/fault_matrix.md || status=1
build/tests/fault_matrix_mutants mutants || status=1
exit $status
