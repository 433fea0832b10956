#!/usr/bin/env bash
# Checks the layers: decision libraries may not use I/O, threads, clocks or
# global randomness, and no library may include one above it.
set -euo pipefail
cd "$(dirname "$0")/.."
decisions='src/config src/routing src/limits src/query src/once src/membership
  src/discovery src/dispatch src/accounts src/quota'
forbidden='#include <(asio|restinio|curl|grpc|thread|mutex|condition_variable|future|random|fstream|iostream|sys/|unistd)'
clocks='(steady_clock|system_clock|high_resolution_clock)::now'
found=$(grep -rnE "$forbidden|$clocks|std::rand\b|random_device" $decisions \
  --include='*.h' --include='*.cc' | grep -v '/tests/' || true)
if [ -n "$found" ]; then
  echo "layers: decision libraries reach outside:" >&2
  echo "$found" >&2
  exit 1
fi
up=$(grep -rnE '#include "(net|app|platform)/' $decisions src/framework || true)
up+=$(grep -rnE '#include "(app|platform)/' src/net || true)
up+=$(grep -rnE '#include "app/' platform || true)
# Only platform/ may use names from the platform's protocols.
up+=$(grep -rnE 'kv-(range|watch|txn|keep|lease)|Server-Stamp|Part-Stamps|Gather"' \
  src --include='*.h' --include='*.cc' || true)
up+=$(grep -rnE '#include "(query|once|membership|config|routing|limits)/' \
  src/framework || true)
if [ -n "$up" ]; then
  echo "layers: a lower library includes a higher one:" >&2
  echo "$up" >&2
  exit 1
fi
echo "layers: clean"
