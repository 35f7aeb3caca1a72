"""Entry point of python -m sycamorefield."""

from sycamorefield import cli

if __name__ == "__main__":
    cli.main()
