"""Randomized fault soak of the programs that run on the platform."""
