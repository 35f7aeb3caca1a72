"""Schedule jobs of many tasks on the workers of a fleet."""
