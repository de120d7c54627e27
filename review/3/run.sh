#!/bin/bash
# Plays the case once: exit 1 if a rule was broken, 0 if all held, 2 if it could not run. TROUBLE=0 leaves the signal out.
cd "$(dirname "$0")" || exit 2
timeout --signal=TERM --kill-after=5 110 node scenario.mjs
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
