// Package ingress bounds what clients hold at the listeners of a process: connections, heads and bodies of
// requests, and answers that are not read. One Limiter owns these resources for all listeners.
//
// net/http parses the head of a request while it arrives and waits for bodies that no handler reads. Conn
// therefore collects each head before net/http sees it, and bounds its length, its time and what it becomes
// when it is parsed. Body does the same for the bodies that handlers read.
//
// When a resource is used up, the clients that have made no progress for longest are disconnected, so that
// others are still served. Progress is a complete step: a connection, a whole head, a part of a body or of an
// answer. A client that sends or reads byte by byte makes none.
//
// Invariant: a request that is refused here has not reached a handler, and a connection on which a handler
// works is closed only if that handler waits for its client.
package ingress
