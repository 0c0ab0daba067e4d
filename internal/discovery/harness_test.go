package discovery

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// patience bounds every wait for an event: it is not reached unless a test fails.
const patience = 20 * time.Second

// await returns the next value of ch.
func await[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v, ok := <-ch:
		if !ok {
			t.Fatalf("no more %s", what)
		}
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
	}
	panic("unreachable")
}

// source stands for discovery: it serves what a test sets.
type source struct {
	srv   *httptest.Server
	asked chan string // query of each call
	mu    sync.Mutex
	list  List
	news  chan struct{} // closed when the list changes
	late  time.Duration // of its answer to the next call
}

func newSource(t *testing.T) *source {
	t.Helper()
	p := &source{asked: make(chan string, 1024), news: make(chan struct{})}
	p.srv = httptest.NewServer(http.HandlerFunc(p.hosts))
	t.Cleanup(func() { p.srv.CloseClientConnections(); p.srv.Close() })
	return p
}

func (p *source) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.news)
	p.news = make(chan struct{})
}

func (p *source) hosts(w http.ResponseWriter, r *http.Request) {
	p.asked <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	p.mu.Lock()
	late := p.late
	p.late = 0
	p.mu.Unlock()
	time.Sleep(late)
	over := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer over.Stop()
	for {
		p.mu.Lock()
		list, news := p.list, p.news
		p.mu.Unlock()
		if list.Generation > from {
			text, err := json.Marshal(list)
			if err != nil {
				panic(err)
			}
			w.Write(text)
			return
		}
		select {
		case <-news:
		case <-over.C:
			fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, list.Generation)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// newTestClient is a client of an empty directory.
func newTestClient(addr string, senders int, grace time.Duration, seed uint64, log *slog.Logger, events chan<- any) *Client {
	return NewClient(Config{Addr: addr, Senders: senders, Grace: grace, Seed: seed, Directory: NewDirectory(nil, nil), Log: log}, events)
}

// awaitEvent takes the next event as the loop does, but applies nothing.
func awaitEvent(t *testing.T, events <-chan any, what string) Event {
	t.Helper()
	ev := await(t, events, what).(Event)
	if ev.Done != nil {
		ev.Done()
	}
	return ev
}
