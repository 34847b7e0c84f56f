"""Sockets: the epoll loop, actors with mailboxes, ring buffers and connections."""
