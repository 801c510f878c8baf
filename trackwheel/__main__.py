"""Run the command line as `python -m trackwheel`."""

from trackwheel.cli import main

if __name__ == "__main__":
    raise SystemExit(main())
