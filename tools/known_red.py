"""Run pytest without the known failing tests and print their entries.

KNOWN-RED.txt lists at most three such tests, one a line, each as "test id;
command and seed; what was seen; issue".
"""

import os
import subprocess
import sys

MAX_ENTRIES = 3
KNOWN_RED_PATH = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")


def read_known_red() -> list[str]:
    """Print the entries of KNOWN-RED.txt and return their test ids.

    Exit with status 2 if there are more than MAX_ENTRIES.
    """
    if not os.path.exists(KNOWN_RED_PATH):
        return []
    with open(KNOWN_RED_PATH, encoding="utf-8") as handle:
        lines = [line.strip() for line in handle if line.strip()]
    if len(lines) > MAX_ENTRIES:
        print(f"KNOWN-RED.txt lists {len(lines)} tests, "
              f"more than {MAX_ENTRIES}")
        sys.exit(2)
    for line in lines:
        print(f"deselected, known to fail: {line}")
    return [line.split(";")[0].strip() for line in lines]


def main() -> int:
    """Run the given pytest command with the listed tests deselected."""
    command = sys.argv[1:]
    for test_id in read_known_red():
        command += ["--deselect", test_id]
    return subprocess.call(command)


if __name__ == "__main__":
    sys.exit(main())
