#!/usr/bin/env bash
# Regenerates the committed gRPC code from src/net/proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=src/net/proto --cpp_out=src/net/generated \
  --grpc_out=src/net/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
