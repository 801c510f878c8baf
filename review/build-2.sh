#!/bin/sh
# The stand-ins in review/standins-2 are plain Python 3.11 of the standard library: nothing to build.
