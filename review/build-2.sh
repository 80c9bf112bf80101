#!/bin/sh
# Builds the stand-ins of this review's cases, after the build of deploy/service.toml:
# target/review-2/case-N, of review/common-2 and review/N. The project's own programs that
# they start (state, fleet, worker, gateway, controllers) are all target/lemonspar.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
modules="glib-2.0 libmicrohttpd libcurl libcbor libtirpc gsl tomlplusplus jansson lmdb openssl"
flags=$(pkg-config --cflags $modules)
libraries=$(pkg-config --libs $modules)
for source in review/[4-8]/case.c; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    for file in "$source" review/common-2/harness.c; do
        cc -std=gnu17 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Itarget/gen \
            -Ireview/common-2 $flags -c "$file" \
            -o "target/review-2/$number-$(basename "$file" .c).o"
    done
    c++ -o "target/review-2/case-$number" "target/review-2/$number-case.o" \
        "target/review-2/$number-harness.o" target/liblemonspar.a $libraries -lpthread -lm
done
