"""Entry point of ``python -m gypsumwalk``."""

from gypsumwalk.command import main

if __name__ == "__main__":
    main()
