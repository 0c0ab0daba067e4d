package node

import "syscall"

const (
	processDescriptors = 32 // of the process itself: discovery, notices, journal, saved list, listeners, handover, runtime
	clientShareDivisor = 3  // clients may hold a third of the descriptors for requests
	maxEvictedConns    = 4  // connections that made room and have not given their descriptors back yet
)

// descriptors share out what the process may hold between clients' connections and calls, whichever need them; the
// rest is kept for the process itself, so that no crowd and no endpoint keeps it from discovery.
type descriptors struct {
	limit         int // for connections of clients and of calls together; 0 for no bound
	callConns     int // connections of calls, idle ones too
	clientReserve int // for clients at least: calls leave them so many
}

// shareDescriptors bounds what clients and calls hold, and returns how many calls may be out at least. A part of
// the descriptors is for operators.
func (c *clients) shareDescriptors(sockets, operators int) (calls int) {
	own := min(processDescriptors+operators, sockets/4)
	c.descriptors = descriptors{limit: sockets - own, clientReserve: min(c.maxConns, sockets/clientShareDivisor)}
	return max(c.descriptors.limit-c.descriptors.clientReserve, 1)
}

// connLimit is how many connections of clients there may be now. The caller holds c.mu.
func (c *clients) connLimit() int {
	if c.descriptors.limit == 0 {
		return c.maxConns
	}
	return min(c.maxConns, max(c.descriptors.limit-c.descriptors.callConns, c.descriptors.clientReserve))
}

// acquireCallDescriptor takes a descriptor for a call's connection, in place of a client up to a rank if need be; false if there
// is none. endCall gives it back.
func (c *clients) acquireCallDescriptor(dearest int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &c.descriptors
	if f.limit > 0 && (f.callConns+f.clientReserve >= f.limit || len(c.conns)+f.callConns >= f.limit && !c.evict(dearest)) {
		return false
	}
	f.callConns++
	return true
}

// addCallDescriptor counts a connection that is there already.
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

// descriptorLimit is how many descriptors the process may hold: what the platform says, or less where the system does.
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
