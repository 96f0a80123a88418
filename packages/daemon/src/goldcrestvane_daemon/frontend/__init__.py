"""The frontend role: admits the calls of clients and forwards them to targets."""
