"""Run the sycamorefield command line."""

from sycamorefield import cli

if __name__ == "__main__":
    cli.main()
