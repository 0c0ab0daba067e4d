package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Put is a message as its client saw it.
type Put struct {
	ID          string
	Class       string
	Destination int
	Limit       time.Duration // how long it may be delivered
	SentAt      time.Time     // when its last byte was written
	Answer      string        // the answer line; empty if none came within 0.4 s
	AnsweredAt  time.Time
}

// Accepted reports whether the client has heard that the message is taken on.
func (p *Put) Accepted() bool { return strings.HasPrefix(p.Answer, "+") }

// Client hands in messages one after the other. It keeps its connection while that answers.
type Client struct {
	Addr   string
	Record *Record
	conn   net.Conn
	reader *bufio.Reader
}

// Encode returns a MSG.PUT request.
func Encode(id, class string, destination int, limit time.Duration, body string) string {
	options := fmt.Sprintf("c=%s,d=%d,dest=%d", class, limit.Milliseconds(), destination)
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, word := range []string{"MSG.PUT", "0000000000000000", id, options, body} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

// Send hands in a message and waits 0.4 s for the answer.
func (c *Client) Send(id, class string, destination int, limit time.Duration, body string) *Put {
	p := &Put{ID: id, Class: class, Destination: destination, Limit: limit}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Addr, 400*time.Millisecond)
		if err != nil {
			c.Record.Add("client: no connection for %s: %v", id, err)
			return p
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_, err := io.WriteString(c.conn, Encode(id, class, destination, limit, body))
	p.SentAt = time.Now()
	if err == nil {
		c.conn.SetReadDeadline(p.SentAt.Add(400 * time.Millisecond))
		p.Answer, err = c.reader.ReadString('\n')
		p.AnsweredAt = time.Now()
	}
	if err != nil {
		p.Answer = ""
		c.Close()
	}
	c.Record.Add("client: %s (%s, destination %d, %d bytes, may be delivered for %v) answered %q after %v", id, class, destination,
		len(body), limit, strings.TrimSpace(p.Answer), time.Since(p.SentAt).Round(time.Millisecond))
	return p
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
