#!/bin/sh
# Make proto.h and proto.c from proto.x.
cd "$(dirname "$0")" || exit 1
rm -f proto.h proto.c
rpcgen -C -h -o proto.h proto.x && rpcgen -C -c -o proto.c proto.x
