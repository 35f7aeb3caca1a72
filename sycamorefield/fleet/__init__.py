"""Schedule multi-task jobs on the workers of a fleet."""
