"""Write benchmark results."""

import json
import os


def write(path: str, results: object) -> None:
    """Write results as JSON; create the directory if needed."""
    os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
    with open(path, "w", encoding="utf-8") as handle:
        json.dump(results, handle, indent=1)
