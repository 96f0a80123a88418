"""Runs seeded loads through the gate and placement with simulated targets."""
