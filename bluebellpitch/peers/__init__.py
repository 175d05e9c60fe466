"""The message bus between entry VMs over ZeroMQ, and the messages that they exchange."""
