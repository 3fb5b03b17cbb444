#!/usr/bin/env bash
# Regenerates modules/wire/generated from the schemas. With --check, reports
# whether the committed files are current. The check is skipped if protoc has
# another version.
set -eu
cd "$(dirname "$0")/.."
out=modules/wire/generated
if [ "${1:-}" = --check ]; then
  if ! command -v protoc >/dev/null || [ "$(protoc --version)" != "libprotoc 3.21.12" ]; then
    echo "generate: protoc 3.21.12 not found; generated code not compared" >&2
    exit 0
  fi
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
protoc -I modules/wire/schema --cpp_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  modules/wire/schema/api.proto
protoc -I modules/wire/schema --cpp_out="$out" modules/wire/schema/wire.proto \
  modules/wire/schema/fleet.proto
if [ "${1:-}" = --check ]; then
  diff -r "$out" modules/wire/generated && echo "generate: current"
fi
