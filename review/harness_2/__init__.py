"""Deployment, stand-ins and clients for the cases of the second review.

Everything here uses the standard library only.
"""
