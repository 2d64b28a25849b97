"""How many hosts each pool needs and how spare hosts are shared."""
