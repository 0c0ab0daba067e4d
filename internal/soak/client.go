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

// answerLimit is how long a client waits for the answer to a request.
const answerLimit = 400 * time.Millisecond

const (
	pipelineMost = 6                // requests that some clients send in one write
	crowdLeast   = 60               // idle connections that come at once
	crowdMost    = 300              // more than a sender's table holds
	restMost     = 20 * time.Second // for which a client rests on a connection until the sender ends it
	splitPause   = 5 * time.Millisecond
)

// habit is how a client uses its connections.
type habit int

const (
	habitPlain   habit = iota // one or some requests, then a pause
	habitBusy                 // hardly a pause
	habitRest                 // one request, then none until the sender ends the connection: the next crosses that
	habitSplit                // requests in two writes, whole ones before half of one
	habitHalfEnd              // ends its sending behind its requests, and reads the answers
)

// Request is a message as the client that handed it in saw it.
type Request struct {
	ID       string
	Sender   int
	Class    string
	Dest     int64
	Sent     time.Time     // its last byte was written
	Time     time.Duration // for which it may be delivered
	Answer   string        // line that came back, with its end; empty if none came
	Answered time.Time
	Closed   time.Time // its connection was ended with no answer; zero if it was not
	WasRead  bool      // and the sender had read all of it
	GaveUp   bool      // the client stopped waiting
}

// Accepted says whether the sender owes the message its end, and the client knows.
func (r *Request) Accepted() bool { return strings.HasPrefix(r.Answer, "+") }

// Refused says whether the client knows that the message was not accepted.
func (r *Request) Refused() bool { return strings.HasPrefix(r.Answer, "-") }

// requests keeps what clients handed in.
type requests struct {
	mu    sync.Mutex
	list  []*Request
	ended []endedConn
}

// endedConn is a connection that a sender has ended before it had answered all requests.
type endedConn struct {
	net.Conn
	unanswered []*Request
}

func (q *requests) add(r *Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, r)
}

func (q *requests) addEnded(conn net.Conn, unanswered []*Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = append(q.ended, endedConn{conn, unanswered})
}

// findRead finds out which unanswered requests their senders had read. All senders must have ended: what one that is held
// up has not closed yet would look as if it were read.
func (q *requests) findRead() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, conn := range q.ended {
		read := standin.ReadByPeer(conn.Conn)
		for _, r := range conn.unanswered {
			r.WasRead = read
		}
		conn.Close()
	}
	q.ended = nil
}

// client hands messages to one sender, one at a time, until stop is closed.
type client struct {
	name   string
	sender int
	addr   string
	habit  habit
	load   load
	rng    *rand.Rand
	out    *requests
	stop   <-chan struct{}

	conn net.Conn
	r    *bufio.Reader
	next int
}

// load is what clients hand in.
type load struct {
	classes []string
	dests   int64
	pause   time.Duration // mean, between two messages of a client
	least   time.Duration // of the time that a message has
	most    time.Duration
}

func (c *client) run() {
	defer c.hangUp()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(c.load.pause))):
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		c.put(1 + c.rng.IntN(2)*c.rng.IntN(2)*c.rng.IntN(pipelineMost))
		if c.conn != nil && c.habit == habitRest {
			c.restUntilEnded()
		}
		if c.rng.IntN(20) == 0 {
			c.hangUp()
		}
	}
}

// restUntilEnded waits until the sender ends the connection, and hands a message in at that moment.
func (c *client) restUntilEnded() {
	c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.rng.Int64N(int64(restMost)))))
	if _, err := c.r.Peek(1); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.put(1)
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.addr, answerLimit)
	if err != nil {
		return false
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return true
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// put hands messages in, one behind the other in one write, and notes what became of each.
func (c *client) put(count int) {
	var sent []*Request
	var text strings.Builder
	for range count {
		q := c.newRequest()
		text.WriteString(q.text())
		sent = append(sent, q)
	}
	if err := c.write(text.String()); err != nil {
		c.hangUp()
		return
	}
	at := time.Now()
	c.conn.SetReadDeadline(at.Add(answerLimit))
	var err error
	var unanswered []*Request
	for _, q := range sent {
		q.Sent = at
		if err == nil {
			err = c.answer(q)
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			q.GaveUp = true
		default:
			q.Closed = time.Now()
			unanswered = append(unanswered, q)
		}
		c.out.add(q)
	}
	switch {
	case errors.Is(err, io.EOF) && c.habit != habitHalfEnd:
		c.out.addEnded(c.conn, unanswered)
		c.conn = nil
	case err != nil || c.habit == habitHalfEnd:
		c.hangUp()
	}
}

func (c *client) newRequest() *Request {
	c.next++
	span := c.load.least + time.Duration(c.rng.Int64N(int64(c.load.most-c.load.least)+1))
	return &Request{ID: fmt.Sprintf("%s-%d", c.name, c.next), Sender: c.sender, Time: span,
		Class: c.load.classes[c.rng.IntN(len(c.load.classes))], Dest: c.rng.Int64N(c.load.dests)}
}

// text is the request as it is written.
func (r *Request) text() string {
	opts := fmt.Sprintf("c=%s,d=%d,dest=%d", r.Class, r.Time.Milliseconds(), r.Dest)
	return command("MSG.PUT", "0000", r.ID, opts, r.body())
}

func (r *Request) body() string { return "body of " + r.ID }

// write sends a text as the client's habit has it.
func (c *client) write(text string) error {
	if c.habit == habitSplit {
		cut := 1 + c.rng.IntN(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:cut]); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(splitPause))))
		text = text[cut:]
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	if c.habit == habitHalfEnd {
		return c.conn.(*net.TCPConn).CloseWrite()
	}
	return nil
}

// answer reads the answer to a request.
func (c *client) answer(q *Request) error {
	line, err := c.r.ReadString('\n')
	if err == nil {
		q.Answer, q.Answered = line, time.Now()
	}
	return err
}

// command is a request in RESP2.
func command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// crowd opens idle connections and holds them for a while.
func crowd(addr string, size int, span time.Duration) {
	var conns []net.Conn
	for range size {
		if conn, err := net.DialTimeout("tcp", addr, answerLimit); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(span)
	for _, conn := range conns {
		conn.Close()
	}
}

// badClient connects and sends what is no proper request, or none.
func badClient(addr string, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp", addr, answerLimit)
	if err != nil {
		return
	}
	defer conn.Close()
	whole := command("MSG.PUT", "0000", "bad", "c=none,d=1,dest=0", "x")
	switch rng.IntN(4) {
	case 0: // idle
	case 1:
		io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	case 2:
		io.WriteString(conn, whole[:1+rng.IntN(len(whole)-1)])
	case 3:
		io.WriteString(conn, whole)
	}
	conn.SetReadDeadline(time.Now().Add(time.Duration(rng.Int64N(int64(3 * time.Second)))))
	io.Copy(io.Discard, conn)
}
