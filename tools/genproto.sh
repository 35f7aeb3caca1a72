#!/usr/bin/env bash
# Regenerate the committed gRPC code from protos/; the build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
python -m grpc_tools.protoc -Iprotos --python_out=sycamorefield \
    --grpc_python_out=sycamorefield --pyi_out=sycamorefield protos/sycamorefield.proto
sed -i 's/^import sycamorefield_pb2 as/from sycamorefield import sycamorefield_pb2 as/' \
    sycamorefield/sycamorefield_pb2_grpc.py
