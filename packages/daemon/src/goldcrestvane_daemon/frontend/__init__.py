"""The frontend role: takes clients' calls, decides, and forwards them to targets."""
