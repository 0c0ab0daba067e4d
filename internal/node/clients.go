package node

// The RESP2 server for clients: the table of their connections, its limits and its counters.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"crossdeal/internal/clock"
)

const (
	// maxPeerDuration limits times that peers set: a longer time to a deadline is rejected, a longer wait is shortened.
	maxPeerDuration = 24 * time.Hour
	// requestReadTimeout is for reading one complete request. For the first request of a connection it starts with the
	// connection.
	requestReadTimeout = 2500 * time.Millisecond
	answerTimeout      = 2500 * time.Millisecond // for writing one answer
	clientIdleTimeout  = 30 * time.Second        // a connection without a request is closed after this time
	minIdleForEviction = 2 * time.Second         // idle connections are evicted first from this time on
	lastRequestTimeout = 200 * time.Millisecond  // during a shutdown, for a request of which some bytes have arrived
	firstRequestGrace  = 500 * time.Millisecond  // during a shutdown, for a connection's first request, from its start
	clientMemoryShare  = 0.25                    // share of the memory for requests that client connections hold
	maxIDBytes         = 128
	// stallTimeout is the time without a byte after which a client without a complete first request counts as
	// stalled.
	stallTimeout    = 300 * time.Millisecond
	shortRetryDelay = 5 * time.Millisecond
	answerOK        = "+OK\r\n"
	answerFailed    = "-ERR failed\r\n"
)

// putEvent is a message that a client submits with MSG.PUT. The loop sends exactly one answer.
type putEvent struct {
	message Message
	answer  chan<- string
}

// clients is the RESP2 server and the table of client connections. Each connection has one goroutine, its reader, see
// clientConn.
type clients struct {
	cfg      *Config
	log      *slog.Logger
	events   chan<- any
	guard    *guard
	clock    *clock.Clock
	maxConns int // connections, at most
	wg       sync.WaitGroup

	// The fields from here on are guarded by mu.
	mu            sync.Mutex
	descriptors   descriptors
	conns         map[net.Conn]*clientConn
	evictedConns  int        // evicted connections whose readers still run and hold their descriptors
	evictedClosed *sync.Cond // signalled when the reader of an evicted connection ends
	closing       bool       // shutting down, or handed over to another process
	// readUntil ends the reading of requests during a shutdown, so that there is time to answer each request read.
	readUntil       time.Time
	handover        *clientHandover // the handover in progress, or nil
	accepting       bool            // serve is accepting connections
	pendingRequests int             // messages passed to the loop and not answered yet
	successorAddr   string          // after a handover, the address at which the new process serves clients

	// The counters from here on start at zero after each report.
	rejectedConns    int // connections closed at once because the table was full or closing was set
	requestsRead     int // complete requests
	answersWritten   int
	closedOverUnread int // connections closed with unread bytes: their clients see a reset
	closeCounts      map[closeReason]int
}

func newClients(cfg *Config, log *slog.Logger, events chan<- any) *clients {
	maxConns := 256
	if cfg.Limits.Sockets > 0 {
		maxConns = max(cfg.Limits.Sockets/2, 16)
	}
	if m := cfg.Limits.MemoryMB; m > 0 { // each connection may hold one request of the largest size
		maxConns = min(maxConns, max(int(m*(1<<20)*clientMemoryShare)/(maxBulkBytes+maxOverheadBytes), 16))
	}
	c := &clients{cfg: cfg, log: log, events: events, guard: newGuard(log), clock: clock.New(), maxConns: maxConns,
		conns: map[net.Conn]*clientConn{}, closeCounts: map[closeReason]int{}}
	c.evictedClosed = sync.NewCond(&c.mu)
	return c
}

// serve accepts connections until the listener is closed or a handover interrupts it. A connection that gets no
// place in the table is closed at once.
func (c *clients) serve(ln net.Listener) {
	c.setAccepting(true)
	defer c.setAccepting(false)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // a handover sets the deadline
				return
			}
			c.log.Warn("accept", "err", err)
			time.Sleep(shortRetryDelay) // possibly out of descriptors: wait for a connection to close
			continue
		}
		c.mu.Lock()
		admitted := !c.closing && (len(c.conns) < c.connLimit() || c.evict(evictionRankNew))
		if admitted {
			cc := newClientConn(c, conn, time.Now())
			c.conns[conn] = cc
			c.startConn(cc, time.Now().Add(requestReadTimeout)) // so that a new client soon gets an answer or a close
		} else {
			c.rejectedConns++
			c.log.Debug("client connection rejected", "peer", conn.RemoteAddr(), "connections", len(c.conns),
				"closing", c.closing)
		}
		// Evicted connections hold their descriptors until their readers end: a burst of new connections must
		// not open descriptors faster than that.
		for c.evictedConns > maxEvictedConns {
			c.evictedClosed.Wait()
		}
		c.mu.Unlock()
		if !admitted {
			conn.Close()
		}
	}
}

// startConn starts the reader of a connection. The first request must be complete by firstRequestBy, which is
// zero if the connection has had a request before. The caller holds c.mu.
func (c *clients) startConn(cc *clientConn, firstRequestBy time.Time) {
	c.wg.Go(func() {
		if parked := cc.serve(firstRequestBy); parked {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.conns[cc.Conn] == nil { // evicted
			c.evictedConns--
			c.evictedClosed.Signal()
		}
		delete(c.conns, cc.Conn)
	})
}

func (c *clients) setAccepting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = on
}

// takeCounts returns log attributes with the number of connections and the counters, and resets the counters.
func (c *clients) takeCounts() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	attrs := []any{"clients", len(c.conns), "clients_away", c.rejectedConns,
		"clients_evicted", c.closeCounts[closedEvicted],
		"clients_late", c.closeCounts[closedNoRequest] + c.closeCounts[closedHalfRequest],
		"requests", c.requestsRead, "answers", c.answersWritten}
	for _, reason := range slices.Sorted(maps.Keys(c.closeCounts)) {
		attrs = append(attrs, "closed_"+string(reason), c.closeCounts[reason])
	}
	if c.closedOverUnread > 0 {
		attrs = append(attrs, "closed_over_unread", c.closedOverUnread)
	}
	c.rejectedConns, c.requestsRead, c.answersWritten, c.closedOverUnread = 0, 0, 0, 0
	clear(c.closeCounts)
	return attrs
}

// pastReadDeadline reports whether a shutdown is past readUntil. No further request is carried out then: its
// answer might not be written before the process ends.
func (c *clients) pastReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
}

// wakeTime returns when an idle reader stops waiting at a shutdown or handover and checks whether a request has
// arrived. That is at once, except for a new connection at a shutdown: it gets firstRequestGrace, since a first
// request fails if its connection is closed. The caller holds c.mu.
func (c *clients) wakeTime(cc *clientConn) time.Time {
	if graceEnd := cc.idleSince.Add(firstRequestGrace); c.closing && !cc.hasServedRequest && graceEnd.After(time.Now()) {
		return graceEnd
	}
	return time.Now()
}

// shutdown wakes the readers of idle connections, which then close them; the other readers finish their
// request first. It returns when all connections are closed or ctx is done.
func (c *clients) shutdown(ctx context.Context) {
	c.mu.Lock()
	c.closing = true
	if deadline, ok := ctx.Deadline(); ok {
		c.readUntil = deadline.Add(-3 * lastRequestTimeout)
	}
	for _, cc := range c.conns {
		if cc.state == connIdle { // the others keep their deadlines: the client may have sent its last byte already
			cc.SetReadDeadline(c.wakeTime(cc))
		}
	}
	c.mu.Unlock()
	select {
	case <-c.allEnded():
	case <-ctx.Done():
	}
}

// allEnded returns a channel that is closed once no connection has a reader.
func (c *clients) allEnded() <-chan struct{} {
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	return done
}

func (c *clients) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// handleRequest carries out a request and returns the answer, a RESP2 reply with its end of line.
func (c *clients) handleRequest(args [][]byte) string {
	switch cmd := strings.ToUpper(string(args[0])); cmd {
	case "PING":
		if len(args) > 1 {
			return fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1])
		}
		return "+PONG\r\n"
	case "MSG.PUT":
		message, err := c.parsePut(args[1:], time.Now())
		if err != nil {
			return "-ERR " + err.Error() + "\r\n"
		}
		if successorAddr := c.admitRequest(); successorAddr != "" {
			return forwardRequest(successorAddr, args)
		}
		defer c.releaseRequest()
		answer := make(chan string, 1)
		c.events <- putEvent{message, answer}
		return <-answer
	default:
		return "-ERR unknown command\r\n"
	}
}
