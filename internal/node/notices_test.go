package node

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// A connection to the platform may become unresponsive with a notice on it. A notice is due within 0.3 s of the
// message's deadline, so it is sent again on another connection well before that. The delay grows after some posts.
func TestUnansweredNoticeIsSentAgain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received, answer := make(chan time.Time, 8), make(chan bool, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					received <- time.Now()
					if <-answer {
						io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
					}
				}
			}()
		}
	}()
	events := make(chan any, 8)
	n := newNoticeQueue(ln.Addr().String(), slog.New(slog.DiscardHandler), events, nil)
	go n.run(t.Context())
	n.add(Notice{ID: "a", State: "failed"})
	last := await(t, received, "notice")
	for i := range noticeEqualRepeats + 1 {
		answer <- false
		next := await(t, received, "notice again")
		gap := next.Sub(last)
		if i == 0 && gap > endLimit {
			t.Errorf("sent again after %v, which is too late", gap)
		}
		if i == noticeEqualRepeats && gap < 3*noticeFirstRepeat/2 { // without growth it would be noticeFirstRepeat
			t.Errorf("the delay does not grow for a slow platform: %v", gap)
		}
		last = next
	}
	answer <- true
	if ev := await(t, events, "confirmation").(noticesConfirmedEvent); len(ev.ids) != 1 || ev.ids[0] != "a" {
		t.Errorf("confirmed %v", ev.ids)
	}
	n.add(Notice{ID: "b", State: "failed"})
	await(t, received, "next notice")
	answer <- true
	await(t, events, "confirmation of the next notice")
	if len(received) != 0 {
		t.Error("confirmed notice was sent again")
	}
}

// Posts that fail at once, as while this host has no socket, must not delay the repeat of a post without an answer.
func TestUnansweredNoticeIsSentAgainSoonAfterFailedPosts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close() // posts fail from now on
	n := newNoticeQueue(addr, slog.New(slog.DiscardHandler), make(chan any, 8), nil)
	go n.run(t.Context())
	n.add(Notice{ID: "a", State: "failed"})
	time.Sleep(15 * noticeFirstRetry)
	if ln, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received := make(chan time.Time, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					received <- time.Now()
				}
			}()
		}
	}()
	first := await(t, received, "notice")
	if gap := await(t, received, "notice again").Sub(first); gap > noticeFirstRepeat+timeSlack {
		t.Errorf("sent again after %v, want %v", gap, noticeFirstRepeat)
	}
}
