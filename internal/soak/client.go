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
)

// answerLimit is how long a client waits for the answer to a request.
const answerLimit = 400 * time.Millisecond

const (
	pipelineMost = 6  // requests that some clients send in one write
	crowdSize    = 90 // idle connections that come at once
)

// Request is a message as the client that handed it in saw it.
type Request struct {
	ID       string
	Sender   int
	Class    string
	Dest     int64
	Sent     time.Time     // its last byte was written
	Time     time.Duration // for which it may be delivered
	Answer   string        // first word of the answer; empty if none came
	Answered time.Time
	Closed   time.Time // its connection was ended with no answer; zero if it was not
	GaveUp   bool      // the client stopped waiting
}

// Accepted says whether the sender owes the message its end, and the client knows.
func (r *Request) Accepted() bool { return strings.HasPrefix(r.Answer, "+") }

// requests keeps what clients handed in.
type requests struct {
	mu   sync.Mutex
	list []*Request
}

func (q *requests) add(r *Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, r)
}

// client hands messages to one sender, one at a time, until stop is closed.
type client struct {
	name   string
	sender int
	addr   string
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
		if c.rng.IntN(20) == 0 {
			c.hangUp()
		}
	}
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
		c.next++
		span := c.load.least + time.Duration(c.rng.Int64N(int64(c.load.most-c.load.least)+1))
		q := &Request{ID: fmt.Sprintf("%s-%d", c.name, c.next), Sender: c.sender, Time: span,
			Class: c.load.classes[c.rng.IntN(len(c.load.classes))], Dest: c.rng.Int64N(c.load.dests)}
		opts := fmt.Sprintf("c=%s,d=%d,dest=%d", q.Class, span.Milliseconds(), q.Dest)
		text.WriteString(command("MSG.PUT", "0000", q.ID, opts, "body of "+q.ID))
		sent = append(sent, q)
	}
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.hangUp()
		return
	}
	at := time.Now()
	c.conn.SetReadDeadline(at.Add(answerLimit))
	var err error
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
		}
		c.out.add(q)
	}
	if err != nil {
		c.hangUp()
	}
}

// answer reads the answer to a request.
func (c *client) answer(q *Request) error {
	line, err := c.r.ReadString('\n')
	if err == nil {
		q.Answer, q.Answered = strings.TrimSpace(line), time.Now()
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
func crowd(addr string, span time.Duration) {
	var conns []net.Conn
	for range crowdSize {
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
