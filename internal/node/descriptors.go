package node

// The division of the file descriptors between client connections, calls and the process itself.

import "syscall"

const (
	// processDescriptors is for the process itself: discovery, notices, journal, saved list, listeners,
	// handover, runtime.
	processDescriptors = 32
	clientShareDivisor = 3 // a third of the descriptors is reserved for clients
	maxEvictedConns    = 4 // evicted connections that may hold their descriptors before serve waits for their readers
)

// descriptors divides the descriptors that the process may hold:
//
//   - One part is for the process itself and for operators, see shareDescriptors. Neither many clients nor
//     endpoints that do not answer can take it, so that discovery stays reachable.
//   - The rest, limit, is for the connections of clients and calls together, whichever need them. Calls leave
//     clientReserve of it to clients. Beyond that, a call that needs a descriptor may evict a client connection,
//     and a new client connection finds room only if calls leave it.
type descriptors struct {
	limit         int // for connections of clients and calls together; 0 for no limit
	callConns     int // connections of calls, including idle ones
	clientReserve int // reserved for clients
}

// shareDescriptors divides sockets descriptors and returns the maximum number of concurrent calls, at least 1.
// The process itself gets processDescriptors and one for each operator connection, but at most a quarter.
// Clients have a third reserved, or as many as their table may hold if that is fewer. Calls can use what is
// left.
func (c *clients) shareDescriptors(sockets, operators int) (maxCalls int) {
	reserved := min(processDescriptors+operators, sockets/4)
	c.descriptors = descriptors{limit: sockets - reserved, clientReserve: min(c.maxConns, sockets/clientShareDivisor)}
	return max(c.descriptors.limit-c.descriptors.clientReserve, 1)
}

// connLimit returns how many client connections there may be: what calls leave, but at least the reserve and at most
// maxConns. The caller holds c.mu.
func (c *clients) connLimit() int {
	if c.descriptors.limit == 0 {
		return c.maxConns
	}
	return min(c.maxConns, max(c.descriptors.limit-c.descriptors.callConns, c.descriptors.clientReserve))
}

// acquireCallDescriptor takes a descriptor for the connection of a call. If none is free, it evicts a client
// connection of a rank up to maxRank. It returns false if calls hold all that they may, or no client can be
// evicted. releaseCallDescriptor gives the descriptor back.
func (c *clients) acquireCallDescriptor(maxRank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &c.descriptors
	if d.limit > 0 && (d.callConns+d.clientReserve >= d.limit || len(c.conns)+d.callConns >= d.limit && !c.evict(maxRank)) {
		return false
	}
	d.callConns++
	return true
}

// addCallDescriptor counts a connection of a call that is already open.
func (c *clients) addCallDescriptor() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.descriptors.callConns++
}

func (c *clients) releaseCallDescriptor() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.descriptors.callConns--
}

// descriptorLimit returns how many descriptors the process may hold: the configured number (1024 if that is not
// positive), or the soft limit of the operating system if that is lower.
func descriptorLimit(sockets int) int {
	if sockets <= 0 {
		sockets = 1024
	}
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < uint64(sockets) {
		sockets = int(lim.Cur)
	}
	return sockets
}
