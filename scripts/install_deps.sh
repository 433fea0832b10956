#!/usr/bin/env bash
# Installs the required libraries and tools on Debian 12.
set -euo pipefail
packages=(
  ca-certificates curl jq g++ cmake ninja-build ccache clang clang-format clang-tidy
  libasio-dev librestinio-dev libhttp-parser-dev libfmt-dev
  libcurl4-openssl-dev liblog4cplus-dev libssl-dev zlib1g-dev doctest-dev libboost-dev
  libgrpc++-dev protobuf-compiler-grpc libprotobuf-dev protobuf-compiler
  nlohmann-json3-dev libvalijson-dev libxxhash-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  echo "dependencies: all installed"
  exit 0
fi
echo "dependencies: installing ${missing[*]}"
sudo=''
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" >/dev/null
