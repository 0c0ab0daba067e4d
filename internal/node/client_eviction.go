package node

// The eviction of client connections: which one is closed first when the table is full or a call needs a descriptor.

import (
	"net"
	"time"
)

// Ranks of connections whose first request fails if they are closed, see clientConn.evictionRank.
const (
	evictionRankStalled = 2
	evictionRankNew     = 3
)

// evictionRank returns the order in which connections are evicted, lowest rank first, and the time since which
// the connection has been inactive:
//
//   - 0: it had a request and has been idle for minIdleForEviction, or it had none and has received no byte for
//     that long. Clients do not expect an idle connection to stay open longer.
//   - 1: it had a request and has been idle for less. A request that its client sends during the close is sent
//     again.
//   - 2 (evictionRankStalled): it had no complete request and has received no byte for stallTimeout. Its first
//     request fails if it is closed.
//   - 3 (evictionRankNew): it had no complete request, and it is new or has received bytes within stallTimeout,
//     however slowly. Its first request fails if it is closed.
//   - -1: it must not be evicted. It is reading a later request or must answer one, or it is parked or already
//     closing.
func (cc *clientConn) evictionRank(now time.Time) (rank int, since time.Time) {
	lastActivity := cc.idleSince
	if cc.lastReadAt.After(lastActivity) {
		lastActivity = cc.lastReadAt
	}
	switch {
	case cc.state >= connAnswering || cc.state == connReading && cc.hasServedRequest:
		return -1, lastActivity
	case cc.hasServedRequest && now.Sub(cc.idleSince) >= minIdleForEviction ||
		!cc.hasServedRequest && now.Sub(lastActivity) >= minIdleForEviction:
		return 0, lastActivity
	case cc.hasServedRequest:
		return 1, lastActivity
	case now.Sub(lastActivity) > stallTimeout:
		return evictionRankStalled, lastActivity
	}
	return evictionRankNew, lastActivity
}

// evict evicts the connection with the lowest rank, up to maxRank; of several with this rank, the one that has
// been inactive longest. It returns false if there is none.
//
// The victim leaves the table at once, since otherwise a burst of new connections would be rejected while the
// readers of the victims still run. Its reader closes it after it has answered the complete requests that have
// arrived. During a handover the victim stays in the table until then, and the table may exceed its limit;
// nothing is evicted once the table exceeds it by more than an eighth. The caller holds c.mu.
func (c *clients) evict(maxRank int) bool {
	now := time.Now()
	var victim net.Conn
	var victimRank int
	var since time.Time
	for conn, cc := range c.conns {
		rank, t := cc.evictionRank(now)
		if rank >= 0 && rank <= maxRank && (victim == nil || rank < victimRank || rank == victimRank && t.Before(since)) {
			victim, victimRank, since = conn, rank, t
		}
	}
	if victim == nil || len(c.conns) > c.maxConns+c.maxConns/8 {
		return false
	}
	c.log.Debug("client connection evicted", "peer", victim.RemoteAddr(), "rank", victimRank, "since", since)
	c.conns[victim].setState(connClosing)
	victim.SetReadDeadline(time.Unix(1, 0))
	if c.handover != nil {
		return true
	}
	delete(c.conns, victim)
	c.evictedConns++
	return true
}
