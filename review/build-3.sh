#!/bin/sh
# Builds the stand-ins of the third review (cases 11 to 15) with the compiler and the rapidjson headers that the deploy
# file declares. Run it after the build of the deploy file. The result is target/review-3/cell3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec g++ -std=c++20 -O1 -Wall -Wextra -o target/review-3/cell3 review/standins-3/*.cpp -lpthread
