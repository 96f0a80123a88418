"""Messages, settings and clients shared by the goldcrestvane programs."""
