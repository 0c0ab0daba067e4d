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

// A connection to the platform may fall silent with a notice on it. The end of a message is owed 0.3 s after its time,
// so the notice is sent again, on another connection, well before; the next such silence is given more time.
func TestUnansweredNoticeIsSentAgain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	came, answer := make(chan time.Time, 8), make(chan bool, 8)
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
					came <- time.Now()
					if <-answer {
						io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
					}
				}
			}()
		}
	}()
	events := make(chan any, 8)
	n := newNoticeQueue(ln.Addr().String(), slog.New(slog.DiscardHandler), events)
	go n.run(t.Context())
	n.add(Notice{ID: "a", State: "failed"})
	first := await(t, came, "notice")
	answer <- false
	second := await(t, came, "notice again")
	if gap := second.Sub(first); gap > noticeMaxTimeout {
		t.Errorf("again after %v, the end of the message is owed sooner", gap)
	}
	answer <- false
	third := await(t, came, "third notice")
	if gap := third.Sub(second); gap < 2*noticeMinTimeout {
		t.Errorf("a platform that is slow is given no more time: %v", gap)
	}
	answer <- true
	if ev := await(t, events, "confirmation").(noticesConfirmedEvent); len(ev.ids) != 1 || ev.ids[0] != "a" {
		t.Errorf("confirmed %v", ev.ids)
	}
	n.add(Notice{ID: "b", State: "failed"})
	await(t, came, "next notice")
	answer <- true
	await(t, events, "its confirmation")
	if len(came) != 0 {
		t.Error("a confirmed notice went out again")
	}
}
