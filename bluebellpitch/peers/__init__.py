"""The other entry VMs: messages over zmq."""
