"""The ledger stores the turns and token accounts of programs on machines with disks.

Each entry is written to the disks of a majority of the members responsible for it. The
members are listed in an object of the platform's object store.
"""
