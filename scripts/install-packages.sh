#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail
packages=(
  g++ cmake make ninja-build ccache clang-format clang-tidy curl python3
  libboost1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev
  libboost-url1.81-dev libthrift-dev libyaml-cpp-dev libeasyloggingpp-dev
  libexpected-dev libgtest-dev librapidcheck-dev libbenchmark-dev
  libxxhash-dev libssl-dev
)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}\n' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
