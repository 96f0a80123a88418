"""Seeded loads through the product's gate and placement, on small fake targets."""
