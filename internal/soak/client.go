package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// answerTimeout is how long a client waits for a connection and for the answer to a request.
const answerTimeout = 400 * time.Millisecond

const (
	maxPipelined  = 6                // requests in one write
	minIdleBurst  = 60               // idle connections opened at once
	maxIdleBurst  = 300              // more than a sender's connection table holds
	maxIdleTime   = 20 * time.Second // a client waits at most this long for the sender to close an idle connection
	maxSplitPause = 5 * time.Millisecond
)

// connectionPattern is the way in which a client uses its connections.
type connectionPattern int

const (
	patternPlain       connectionPattern = iota // one or several requests, then a pause
	patternBusy                                 // as patternPlain, with very short pauses
	patternIdle                                 // idle until the sender closes; the next request crosses the close
	patternSplitWrites                          // requests in two writes, the first often ends in the middle of one
	patternHalfClose                            // shuts down its sending side after its requests, and reads the answers
)

// Request is a message as its client saw it.
type Request struct {
	ID           string
	Sender       int
	Class        string
	Destination  int64
	SentAt       time.Time     // when its last byte was written
	TimeLimit    time.Duration // within which it may be delivered
	Answer       string        // answer line with its line end; empty if none was received
	AnsweredAt   time.Time
	ClosedAt     time.Time // when its connection was closed without an answer; zero if it was not
	ReadBySender bool      // ClosedAt is set, and the sender had read the complete request
	TimedOut     bool      // the client stopped waiting for the answer
}

// Accepted reports whether the client received the answer that the message was accepted. The sender must then bring the
// message to an end.
func (r *Request) Accepted() bool { return strings.HasPrefix(r.Answer, "+") }

// Refused reports whether the client received the answer that the message was not accepted.
func (r *Request) Refused() bool { return strings.HasPrefix(r.Answer, "-") }

// requestLog keeps the requests of all clients.
type requestLog struct {
	mu         sync.Mutex
	all        []*Request
	endedConns []endedConn
}

// endedConn is a connection that a sender closed before it had answered all requests.
type endedConn struct {
	net.Conn
	unanswered []*Request
}

func (l *requestLog) add(request *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, request)
}

func (l *requestLog) addEndedConn(conn net.Conn, unanswered []*Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedConns = append(l.endedConns, endedConn{conn, unanswered})
}

// markReadRequests sets ReadBySender of the unanswered requests. All senders must have exited: a connection that a
// suspended sender has not closed yet would look as if all of it had been read.
func (l *requestLog) markReadRequests() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.endedConns {
		read := standin.PeerReadAll(conn.Conn)
		for _, request := range conn.unanswered {
			request.ReadBySender = read
		}
		conn.Close()
	}
	l.endedConns = nil
}

// client sends messages to one sender over one connection at a time, until stop is closed.
type client struct {
	name     string
	sender   int
	address  string
	pattern  connectionPattern
	workload workload
	rng      *rand.Rand
	requests *requestLog
	stop     <-chan struct{}

	conn       net.Conn
	reader     *bufio.Reader
	lastNumber int
}

// workload describes the messages of a client.
type workload struct {
	classes      []string
	destinations int64
	meanPause    time.Duration // between two messages or groups of messages
	minTime      time.Duration // bounds of a message's time limit
	maxTime      time.Duration
}

func (c *client) run() {
	defer c.disconnect()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(c.workload.meanPause))):
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		c.send(1 + c.rng.IntN(2)*c.rng.IntN(2)*c.rng.IntN(maxPipelined))
		if c.conn != nil && c.pattern == patternIdle {
			c.idleUntilClosed()
		}
		if c.rng.IntN(20) == 0 {
			c.disconnect()
		}
	}
}

// idleUntilClosed waits until the sender closes the connection, and sends a message at that moment.
func (c *client) idleUntilClosed() {
	c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.rng.Int64N(int64(maxIdleTime)))))
	if _, err := c.reader.Peek(1); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.send(1)
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.address, answerTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends messages, pipelined in one write, and records the outcome of each.
func (c *client) send(count int) {
	var sent []*Request
	var text strings.Builder
	for range count {
		request := c.newRequest()
		text.WriteString(request.encode())
		sent = append(sent, request)
	}
	if err := c.write(text.String()); err != nil {
		c.disconnect()
		return
	}
	sentAt := time.Now()
	c.conn.SetReadDeadline(sentAt.Add(answerTimeout))
	var err error
	var unanswered []*Request
	for _, request := range sent {
		request.SentAt = sentAt
		if err == nil {
			err = c.readAnswer(request)
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			request.TimedOut = true
		default:
			request.ClosedAt = time.Now()
			unanswered = append(unanswered, request)
		}
		c.requests.add(request)
	}
	switch {
	case errors.Is(err, io.EOF) && c.pattern != patternHalfClose:
		c.requests.addEndedConn(c.conn, unanswered)
		c.conn = nil
	case err != nil || c.pattern == patternHalfClose:
		c.disconnect()
	}
}

func (c *client) newRequest() *Request {
	c.lastNumber++
	timeLimit := c.workload.minTime + time.Duration(c.rng.Int64N(int64(c.workload.maxTime-c.workload.minTime)+1))
	return &Request{ID: fmt.Sprintf("%s-%d", c.name, c.lastNumber), Sender: c.sender, TimeLimit: timeLimit,
		Class: c.workload.classes[c.rng.IntN(len(c.workload.classes))], Destination: c.rng.Int64N(c.workload.destinations)}
}

// encode returns the request as it is sent.
func (r *Request) encode() string {
	options := fmt.Sprintf("c=%s,d=%d,dest=%d", r.Class, r.TimeLimit.Milliseconds(), r.Destination)
	return encodeCommand("MSG.PUT", "0000", r.ID, options, r.body())
}

func (r *Request) body() string { return "body of " + r.ID }

// write sends a text in the way of the client's connection pattern.
func (c *client) write(text string) error {
	if c.pattern == patternSplitWrites {
		split := 1 + c.rng.IntN(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:split]); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxSplitPause))))
		text = text[split:]
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	if c.pattern == patternHalfClose {
		return c.conn.(*net.TCPConn).CloseWrite()
	}
	return nil
}

// readAnswer reads the answer to a request.
func (c *client) readAnswer(request *Request) error {
	line, err := c.reader.ReadString('\n')
	if err == nil {
		request.Answer, request.AnsweredAt = line, time.Now()
	}
	return err
}

// encodeCommand encodes a request in RESP2.
func encodeCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

// holdIdleConnections opens idle connections and keeps them open for a duration.
func holdIdleConnections(address string, count int, duration time.Duration) {
	var conns []net.Conn
	for range count {
		if conn, err := net.DialTimeout("tcp", address, answerTimeout); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(duration)
	for _, conn := range conns {
		conn.Close()
	}
}

// runBadClient connects and sends nothing, an HTTP request, part of a request, or a request of an unknown class.
func runBadClient(address string, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	complete := encodeCommand("MSG.PUT", "0000", "bad", "c=none,d=1,dest=0", "x")
	switch rng.IntN(4) {
	case 0: // idle
	case 1:
		io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	case 2:
		io.WriteString(conn, complete[:1+rng.IntN(len(complete)-1)])
	case 3:
		io.WriteString(conn, complete)
	}
	conn.SetReadDeadline(time.Now().Add(time.Duration(rng.Int64N(int64(3 * time.Second)))))
	io.Copy(io.Discard, conn)
}
