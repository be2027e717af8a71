"""What a host takes from callers: the memory and descriptors that their connections may hold."""
