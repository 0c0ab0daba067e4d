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

// answerTimeout is how long a client waits for the answer to a request.
const answerTimeout = 400 * time.Millisecond

const (
	maxPipelined  = 6                // requests that some clients send in one write
	minIdleBurst  = 60               // idle connections that come at once
	maxIdleBurst  = 300              // more than a sender's table holds
	maxIdleTime   = 20 * time.Second // for which a client rests on a connection until the sender ends it
	maxSplitPause = 5 * time.Millisecond
)

// connectionPattern is how a client uses its connections.
type connectionPattern int

const (
	patternPlain       connectionPattern = iota // one or some requests, then a pause
	patternBusy                                 // hardly a pause
	patternIdle                                 // one request, then none until the sender ends the connection: the next crosses that
	patternSplitWrites                          // requests in two writes, whole ones before half of one
	patternHalfClose                            // ends its sending behind its requests, and reads the answers
)

// Request is a message as the client that handed it in saw it.
type Request struct {
	ID           string
	Sender       int
	Class        string
	Destination  int64
	SentAt       time.Time     // its last byte was written
	TimeLimit    time.Duration // for which it may be delivered
	Answer       string        // line that came back, with its end; empty if none came
	AnsweredAt   time.Time
	ClosedAt     time.Time // its connection was ended with no answer; zero if it was not
	ReadBySender bool      // and the sender had read all of it
	TimedOut     bool      // the client stopped waiting
}

// Accepted says whether the sender owes the message its end, and the client knows.
func (r *Request) Accepted() bool { return strings.HasPrefix(r.Answer, "+") }

// Refused says whether the client knows that the message was not accepted.
func (r *Request) Refused() bool { return strings.HasPrefix(r.Answer, "-") }

// requestLog keeps what clients handed in.
type requestLog struct {
	mu         sync.Mutex
	all        []*Request
	endedConns []endedConn
}

// endedConn is a connection that a sender has ended before it had answered all requests.
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

// markReadRequests finds out which unanswered requests their senders had read. All senders must have ended: what one that is held
// up has not closed yet would look as if it were read.
func (l *requestLog) markReadRequests() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.endedConns {
		read := standin.ReadByPeer(conn.Conn)
		for _, request := range conn.unanswered {
			request.ReadBySender = read
		}
		conn.Close()
	}
	l.endedConns = nil
}

// client hands messages to one sender, one at a time, until stop is closed.
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

// workload is what clients hand in.
type workload struct {
	classes      []string
	destinations int64
	meanPause    time.Duration // mean, between two messages of a client
	minTime      time.Duration // of the time that a message has
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

// idleUntilClosed waits until the sender ends the connection, and hands a message in at that moment.
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

// send hands messages in, one behind the other in one write, and notes what became of each.
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

// encode is the request as it is written.
func (r *Request) encode() string {
	options := fmt.Sprintf("c=%s,d=%d,dest=%d", r.Class, r.TimeLimit.Milliseconds(), r.Destination)
	return encodeCommand("MSG.PUT", "0000", r.ID, options, r.body())
}

func (r *Request) body() string { return "body of " + r.ID }

// write sends a text as the client's habit has it.
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

// encodeCommand is a request in RESP2.
func encodeCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

// holdIdleConnections opens idle connections and holds them for a while.
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

// runBadClient connects and sends what is no proper request, or none.
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
