"""The ledger: turns and token accounts of programs, kept on the machines with disks.

Every entry is written to the disks of a majority of the members responsible for it.
Which members these are is agreed in the platform's object store.
"""
