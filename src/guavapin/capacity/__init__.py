"""The need of each pool, the lending of hosts and the cost of growth."""
