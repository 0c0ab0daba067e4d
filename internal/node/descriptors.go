package node

import "syscall"

const (
	ownDescriptors = 32 // of the process itself: discovery, notices, journal, saved list, listeners, handover, runtime
	clientThird    = 3  // clients may hold a third of the descriptors for requests
	endingMost     = 4  // connections that made room and have not given their descriptors back yet
)

// descriptors share out what the process may hold between clients' connections and calls, whichever need them; the
// rest is kept for the process itself, so that no crowd and no endpoint keeps it from discovery.
type descriptors struct {
	most  int // for connections of clients and of calls together; 0 for no bound
	calls int // connections of calls, idle ones too
	left  int // for clients at least: calls leave them so many
}

// shareDescriptors bounds what clients and calls hold, and returns how many calls may be out at least. A part of
// the descriptors is for operators.
func (c *clients) shareDescriptors(sockets, operators int) (calls int) {
	own := min(ownDescriptors+operators, sockets/4)
	c.fds = descriptors{most: sockets - own, left: min(c.most, sockets/clientThird)}
	return max(c.fds.most-c.fds.left, 1)
}

// room is how many connections of clients there may be now. The caller holds c.mu.
func (c *clients) room() int {
	if c.fds.most == 0 {
		return c.most
	}
	return min(c.most, max(c.fds.most-c.fds.calls, c.fds.left))
}

// beginCall takes a descriptor for a call's connection, in place of a client up to a rank if need be; false if there
// is none. endCall gives it back.
func (c *clients) beginCall(dearest int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &c.fds
	if f.most > 0 && (f.calls+f.left >= f.most || len(c.conns)+f.calls >= f.most && !c.makeRoom(dearest)) {
		return false
	}
	f.calls++
	return true
}

// addCall counts a connection that is there already.
func (c *clients) addCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fds.calls++
}

func (c *clients) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fds.calls--
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
