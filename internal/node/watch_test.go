package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"crossdeal/logic"
)

// script is a discovery whose every answer a test gives by hand.
type script struct {
	srv     *httptest.Server
	asked   chan string // query of each call
	answers chan string // the next answer; "" is a call that falls silent, with its connection open
	late    chan string // what calls that fell silent get at last
}

func newScript(t *testing.T) *script {
	t.Helper()
	s := &script{asked: make(chan string, 64), answers: make(chan string, 64), late: make(chan string, 64)}
	s.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.asked <- r.URL.RawQuery
		var text string
		select {
		case text = <-s.answers:
		case <-r.Context().Done():
			return
		}
		if text == "" {
			text = <-s.late
		}
		io.WriteString(w, text)
	}))
	t.Cleanup(func() { close(s.late); s.srv.CloseClientConnections(); s.srv.Close() })
	return s
}

func (s *script) addr() string { return strings.TrimPrefix(s.srv.URL, "http://") }

// lines is a log that tests look into.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}

// watchOf watches a script from generation 5 on, until the test ends.
func watchOf(t *testing.T, s *script) (*discovery, <-chan any, *lines) {
	t.Helper()
	events, log := make(chan any, 64), &lines{}
	d := newDiscovery(s.addr(), 2, time.Second, 5, slog.New(slog.NewTextHandler(log, nil)), events)
	d.gen, d.started = 5, true
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() { defer close(done); d.watch(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return d, events, log
}

const good = "{\n \"generation\": 6,\n \"reset\": false,\n \"instances\": [\n  {\"instanceId\": \"a\", \"hostPort\": \"h:1\", \"cell\": 1, \"lifecycle\": \"up\"}\n ]\n}\n"

// What makes no sense leaves the last good list in force, with a line in the log, and is asked for again at once: a
// pause as after a discovery that is overbooked would miss what counts as told meanwhile.
func TestNonsenseLeavesTheListInForce(t *testing.T) {
	for _, nonsense := range []string{`{"generation":6,"reset":true,"instances":[{"inst`, `"x"`, `[]`, `{}`, `{"generation":"six"}`,
		"<html>", `{"generation":4,"reset":true,"instances":[{"instanceId":"old","hostPort":"h:1","lifecycle":"up"}]}`,
		`{"generation":6,"reset":true}`, `{"generation":6,"reset":true,"instances":null}`, `{"generation":4,"reset":false,"instances":[]}`, `{"generation":-1,"reset":true,"instances":[]}`} {
		s := newScript(t)
		_, events, log := watchOf(t, s)
		s.answers <- nonsense
		s.answers <- good
		first := await(t, events, "list").(listEvent)
		if first.err != nil || first.list.Generation != 6 || len(first.list.Instances) != 1 {
			t.Errorf("%s: told %+v", nonsense, first)
		}
		for _, want := range []string{"from=5&hold_ms=4000", "from=5&hold_ms=1"} { // again, not waiting for more news
			if q := await(t, s.asked, "call"); q != want {
				t.Errorf("%s: asked %q, want %q", nonsense, q, want)
			}
		}
		if log.count("the list stays as it is") != 1 {
			t.Errorf("%s: no line in the log", nonsense)
		}
	}
}

// The same list again changes nothing, and a discovery that keeps answering with older ones has begun its count anew:
// then its whole list is asked for.
func TestRepeatedAndRenumberedLists(t *testing.T) {
	s := newScript(t)
	_, events, _ := watchOf(t, s)
	s.answers <- good
	s.answers <- good
	for range 2 {
		if ev := await(t, events, "list").(listEvent); ev.err != nil || ev.list.Generation != 6 {
			t.Errorf("told %+v", ev)
		}
	}
	for range badMost {
		s.answers <- `{"generation":2,"reset":false,"instances":[]}`
	}
	if ev := await(t, events, "failure").(listEvent); ev.err == nil {
		t.Errorf("told %+v", ev)
	}

	s = newScript(t)
	d, events, _ := watchOf(t, s)
	for range badMost {
		s.answers <- `{"generation":2,"reset":false,"instances":[]}`
	}
	await(t, events, "failure")
	s.answers <- `{"generation":2,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`
	go d.watch(t.Context()) // as the module has it do
	if ev := await(t, events, "list").(listEvent); ev.err != nil || ev.list.Generation != 2 {
		t.Errorf("told %+v", ev)
	}
	var last string
	for range badMost + 1 {
		last = await(t, s.asked, "call")
	}
	if last != "" {
		t.Errorf("asked %q, want the whole list", last)
	}
}

// A watch that falls silent with its connection open is opened anew, and its late answer harms nothing.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	s := newScript(t)
	events := make(chan any, 64)
	d := newDiscovery(s.addr(), 2, time.Second, 5, slog.New(slog.DiscardHandler), events)
	d.gen, d.started, d.hold = 5, true, time.Millisecond
	s.answers <- "" // silent
	go d.watch(t.Context())
	if ev := await(t, events, "end of the silent watch").(listEvent); ev.err == nil {
		t.Fatalf("told %+v", ev)
	}
	s.answers <- good
	go d.watch(t.Context())
	if ev := await(t, events, "list").(listEvent); ev.err != nil || ev.list.Generation != 6 {
		t.Fatalf("told %+v", ev)
	}
	s.late <- `{"generation":3,"reset":true,"instances":[]}` // written by the old call's side, after all
	s.answers <- strings.Replace(good, "6", "7", 1)
	if ev := await(t, events, "next list").(listEvent); ev.err != nil || ev.list.Generation != 7 {
		t.Errorf("told %+v", ev)
	}
}

// Discovery moves while its watch is silent: the new address is asked at once for the whole list.
func TestMoveUnderASilentWatch(t *testing.T) {
	s, next := newScript(t), newScript(t)
	d, events, _ := watchOf(t, s)
	s.answers <- ""
	await(t, s.asked, "watch")
	next.answers <- `{"generation":2,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`
	d.move(next.addr())
	if ev := await(t, events, "list").(listEvent); ev.err != nil || ev.list.Generation != 2 {
		t.Errorf("told %+v", ev)
	}
	if q := await(t, next.asked, "call"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
}

// A call for the list has failed, and a sender of many leaves discovery alone for seconds. A move in this time is
// followed at once: what the new address has to tell counts as told 4 s after the signal.
func TestMoveWhileNoWatchIsOut(t *testing.T) {
	p, q := newPlatform(t), newPlatform(t)
	p.down = true
	q.list = List{Generation: 9, Reset: true, Instances: []Instance{}}
	cfg, err := ParseConfig([]byte(strings.Replace(string(configText(p, List{Generation: 1, Reset: true})), `"balancers":1,`, `"balancers":300,`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan bool, 1)
	n := startConfig(t, cfg, t.TempDir(), func(n *Node) {
		n.disc.back = true // no spread of first calls
		n.log = slog.New(onLine("msg=discovery ", failed))
		n.disc.log = n.log
	})
	await(t, failed, "failure")
	first := 1 * time.Second // the module's pause is 2 s at least
	at := time.Now()
	n.Move(strings.TrimPrefix(q.srv.URL, "http://"))
	if query := await(t, q.asked, "call to the new address"); query != "" || time.Since(at) > first {
		t.Errorf("%q %v after the move, want the whole list at once", query, time.Since(at))
	}
	n.stop()
	await(t, n.done, "end of the sender")
}

// onLine tells of lines that hold a text.
func onLine(text string, seen chan<- bool) slog.Handler {
	return slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		if strings.Contains(string(b), text) {
			select {
			case seen <- true:
			default:
			}
		}
		return len(b), nil
	}), nil)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// The failure of a call to the old address may come to the loop after the word of the move: the module hears of both.
func TestMoveCrossesAFailure(t *testing.T) {
	cfg, err := ParseConfig(configText(newPlatform(t), List{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	n.watching = true
	n.Move("127.0.0.1:1")
	n.list(listEvent{err: io.ErrUnexpectedEOF})
	if len(n.next) != 2 || n.next[1] != logic.Event(logic.Moved{}) {
		t.Errorf("the module hears %v", n.next)
	}
}

// Entries that make no sense are left out, with a line in the log; the others of the list count.
func TestNonsenseAmongEntries(t *testing.T) {
	d := newDirectory(&Config{})
	d.take(List{Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Dest: 1, Lifecycle: "up"}}})
	rows := d.take(List{Instances: []Instance{{HostPort: "h:2", Dest: 1, Lifecycle: "up"}, {ID: "b", Dest: 1, Lifecycle: "up"},
		{ID: "c", HostPort: "h", Lifecycle: "up"}, {ID: "d", HostPort: "h:port", Lifecycle: "up"}, {ID: "e", HostPort: ":0", Lifecycle: "up"},
		{ID: "a", HostPort: "nonsense", Dest: 1, Lifecycle: "draining"}, {ID: "f", HostPort: "h:6", Dest: 1, Lifecycle: "up"}}})
	if len(rows) != 2 || d.unusable != 5 || len(d.ids) != 2 {
		t.Errorf("%d entries taken, %d left out, names %v", len(rows), d.unusable, d.ids)
	}
	if to := d.eps[d.ids["a"]]; to.addr != "h:1" {
		t.Errorf("a is called at %q now", to.addr)
	}
	if fmt.Sprint(rows[0].State, rows[1].State) != fmt.Sprint(logic.Draining, logic.Ready) {
		t.Errorf("states %v, %v", rows[0].State, rows[1].State)
	}
}
