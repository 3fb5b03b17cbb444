#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -eu
packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
  libace-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
  libgrpc++-dev protobuf-compiler-grpc libboost-dev libyaml-cpp-dev
  libcurl4-openssl-dev libmicrohttpd-dev libdocopt-dev libfmt-dev libgtest-dev
  libspdlog-dev librapidcheck-dev libxxhash-dev nlohmann-json3-dev python3"
missing=""
for p in $packages; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q "ok installed" || missing="$missing $p"
done
if [ -n "$missing" ]; then
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
fi
echo "install: all packages are installed"
