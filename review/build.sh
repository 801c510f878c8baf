#!/bin/sh
# The stand-ins in review/standins are plain Python 3.11 of the standard library: nothing to build.
