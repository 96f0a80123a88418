"""Measures the processor time, memory and traffic of the product's processes."""
