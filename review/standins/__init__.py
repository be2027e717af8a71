"""Stand-ins for the review cases: store, runner, client, and the fronts as processes."""
