#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the models need, unless they are
# installed already.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache git clang-format clang-tidy spin
  libboost1.81-dev libboost-json1.81-dev libgrpc++-dev libprotobuf-dev protobuf-compiler
  protobuf-compiler-grpc libabsl-dev liblog4cxx-dev librapidcheck-dev libxxhash-dev zlib1g-dev
  curl procps libgtest-dev libgmock-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}"
fi
