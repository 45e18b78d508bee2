#!/usr/bin/env bash
# Makes the committed code of Libraries/LibPeer/Generated anew. Needs protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../Libraries/LibPeer"
mkdir -p Generated
protoc --cpp_out=Generated --grpc_out=Generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" Peer.proto
