package discovery

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// scriptedDiscovery is a discovery whose every answer a test gives by hand.
type scriptedDiscovery struct {
	server      *httptest.Server
	queries     chan string // query of each call
	answers     chan string // the next answer; "" is a call that falls silent, with its connection open
	lateAnswers chan string // what calls that fell silent get at last
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	s := &scriptedDiscovery{queries: make(chan string, 64), answers: make(chan string, 64), lateAnswers: make(chan string, 64)}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.queries <- r.URL.RawQuery
		var text string
		select {
		case text = <-s.answers:
		case <-r.Context().Done():
			return
		}
		if text == "" {
			text = <-s.lateAnswers
		}
		io.WriteString(w, text)
	}))
	t.Cleanup(func() { close(s.lateAnswers); s.server.CloseClientConnections(); s.server.Close() })
	return s
}

func (s *scriptedDiscovery) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// logBuffer is a log that tests look into.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}

// newWatchingClient watches a script from generation 5 on, until the test ends.
func newWatchingClient(t *testing.T, s *scriptedDiscovery) (*Client, <-chan any, *logBuffer) {
	t.Helper()
	events, log := make(chan any, 64), &logBuffer{}
	d := newTestClient(s.address(), 2, time.Second, 5, slog.New(slog.NewTextHandler(log, nil)), events)
	d.generation, d.hasList = 5, true
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() { defer close(done); d.Watch(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return d, events, log
}

const goodAnswer = "{\n \"generation\": 6,\n \"reset\": false,\n \"instances\": [\n  {\"instanceId\": \"a\", \"hostPort\": \"h:1\", \"cell\": 1, \"lifecycle\": \"up\"}\n ]\n}\n"

// What makes no sense leaves the last good list in force, with a line in the log, and is asked for again at once: a
// pause as after a discovery that is overbooked would miss what counts as told meanwhile.
func TestMalformedAnswerKeepsKnownList(t *testing.T) {
	for _, nonsense := range []string{`{"generation":6,"reset":true,"instances":[{"inst`, `"x"`, `[]`, `{}`, `{"generation":"six"}`,
		"<html>", `{"generation":4,"reset":true,"instances":[{"instanceId":"old","hostPort":"h:1","lifecycle":"up"}]}`,
		`{"generation":6,"reset":true}`, `{"generation":6,"reset":true,"instances":null}`, `{"generation":4,"reset":false,"instances":[]}`, `{"generation":-1,"reset":true,"instances":[]}`} {
		s := newScriptedDiscovery(t)
		_, events, log := newWatchingClient(t, s)
		s.answers <- nonsense
		s.answers <- goodAnswer
		awaitUnusable(t, events, 1)
		first := awaitEvent(t, events, "list")
		if first.Err != nil || first.Update.Generation != 6 || len(first.Update.Rows) != 1 {
			t.Errorf("%s: told %+v", nonsense, first)
		}
		for _, want := range []string{"from=5&hold_ms=4000", "from=5&hold_ms=1"} { // again, not waiting for more news
			if q := awaitValue(t, s.queries, "call"); q != want {
				t.Errorf("%s: asked %q, want %q", nonsense, q, want)
			}
		}
		if log.count("the list stays as it is") != 1 {
			t.Errorf("%s: no line in the log", nonsense)
		}
	}
}

// awaitUnusable takes the word of so many answers that can't be used, and nothing else.
func awaitUnusable(t *testing.T, events <-chan any, count int) {
	t.Helper()
	for range count {
		ev := awaitValue(t, events, "word of an answer that can't be used").(Event)
		if !ev.UnusableAnswer || ev.Err != nil || ev.HasUpdate {
			t.Errorf("told %+v", ev)
		}
	}
}

// The same list again changes nothing, and a discovery that keeps answering with older ones has begun its count anew:
// then its whole list is asked for.
func TestRepeatedAndRenumberedLists(t *testing.T) {
	s := newScriptedDiscovery(t)
	_, events, _ := newWatchingClient(t, s)
	s.answers <- goodAnswer
	s.answers <- goodAnswer
	for range 2 {
		if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 6 {
			t.Errorf("told %+v", ev)
		}
	}
	for range maxBadAnswers {
		s.answers <- `{"generation":2,"reset":false,"instances":[]}`
	}
	awaitUnusable(t, events, maxBadAnswers)
	if ev := awaitEvent(t, events, "failure"); ev.Err == nil {
		t.Errorf("told %+v", ev)
	}

	s = newScriptedDiscovery(t)
	d, events, _ := newWatchingClient(t, s)
	for range maxBadAnswers {
		s.answers <- `{"generation":2,"reset":false,"instances":[]}`
	}
	awaitUnusable(t, events, maxBadAnswers)
	awaitEvent(t, events, "failure")
	s.answers <- `{"generation":2,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`
	go d.Watch(t.Context()) // as the module has it do
	if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 2 {
		t.Errorf("told %+v", ev)
	}
	var last string
	for range maxBadAnswers + 1 {
		last = awaitValue(t, s.queries, "call")
	}
	if last != "" {
		t.Errorf("asked %q, want the whole list", last)
	}
}

// A watch that falls silent with its connection open is opened anew, and its late answer harms nothing.
func TestUnresponsiveWatchIsReopened(t *testing.T) {
	s := newScriptedDiscovery(t)
	events := make(chan any, 64)
	d := newTestClient(s.address(), 2, time.Second, 5, slog.New(slog.DiscardHandler), events)
	d.generation, d.hasList, d.timing.holdTime = 5, true, time.Millisecond
	s.answers <- "" // silent
	go d.Watch(t.Context())
	if ev := awaitEvent(t, events, "end of the silent watch"); ev.Err == nil {
		t.Fatalf("told %+v", ev)
	}
	s.answers <- goodAnswer
	go d.Watch(t.Context())
	if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 6 {
		t.Fatalf("told %+v", ev)
	}
	s.lateAnswers <- `{"generation":3,"reset":true,"instances":[]}` // written by the old call's side, after all
	s.answers <- strings.Replace(goodAnswer, "6", "7", 1)
	if ev := awaitEvent(t, events, "next list"); ev.Err != nil || ev.Update.Generation != 7 {
		t.Errorf("told %+v", ev)
	}
}

// Discovery moves while its watch is silent: the new address is asked at once for the whole list.
func TestAddressChangeDuringUnresponsiveWatch(t *testing.T) {
	s, next := newScriptedDiscovery(t), newScriptedDiscovery(t)
	d, events, _ := newWatchingClient(t, s)
	s.answers <- ""
	awaitValue(t, s.queries, "watch")
	next.answers <- `{"generation":2,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`
	d.SetAddress(next.address())
	if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 2 {
		t.Errorf("told %+v", ev)
	}
	if q := awaitValue(t, next.queries, "call"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
}

// A fleet watches like few senders while discovery answers soon: what changes within 0.2 s of an answer that no further
// call follows counts as told, though nothing tells it. A watch that waited for news does not tell whether discovery has
// time; the first call does. It comes with a restart, since what it would tell counts as told, and within the grace of a
// first start where the fleet is too large for its calls to spread. Where its answer is late, discovery is overbooked by
// such calls, and each of many senders pauses.
func TestWatchPausesWhenDiscoveryIsBusy(t *testing.T) {
	for _, x := range []struct {
		senders int
		back    bool
		late    time.Duration // of the first answer
		soon    time.Duration // the first call comes within that
	}{{2, false, 0, 0}, {10, false, 0, 10 * pausePerSender}, {10, true, 4 * promptAnswerTime, 0}, {10, true, 0, 0}, {300, true, 0, 0}, {300, false, 0, time.Second}} {
		p := newFakeDiscovery(t)
		p.list = List{Generation: 3, Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}}}
		p.nextAnswerDelay = x.late
		events := make(chan any, 8)
		d := newTestClient(strings.TrimPrefix(p.server.URL, "http://"), x.senders, time.Second, 5, slog.New(slog.DiscardHandler), events)
		d.generation, d.hasList, d.restarted = 2, true, x.back // the list of the configuration
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		at := time.Now()
		go func() { defer close(done); d.Watch(ctx) }()
		first, watch := "from=2&hold_ms=4000", "from=4&hold_ms=4000"
		if x.senders >= SpreadMinSenders {
			first, watch = "from=2&hold_ms=1", "from=4&hold_ms=13000"
		}
		if query := awaitValue(t, p.queries, "first call"); query != first || time.Since(at) > x.soon+100*time.Millisecond {
			t.Errorf("%+v: %s %v after the start, want %s", x, query, time.Since(at), first)
		}
		awaitEvent(t, events, "list")
		at = time.Now()
		awaitValue(t, p.queries, "watch")
		if gap := time.Since(at); gap > 100*time.Millisecond {
			t.Errorf("%+v: the watch began %v after the list", x, gap)
		}
		<-time.After(busyAnswerTime + 50*time.Millisecond)
		p.update(func() {
			p.list = List{Generation: 4, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}}}
		})
		awaitEvent(t, events, "news")
		at = time.Now()
		query := awaitValue(t, p.queries, "next watch")
		least := time.Duration(0)
		if x.late > 0 {
			least = time.Duration(x.senders) * pausePerSender * 90 / 100
		}
		if gap := time.Since(at); gap < least || least == 0 && gap > 100*time.Millisecond || query != watch {
			t.Errorf("%+v: %s after %v, want %s after %v at least", x, query, gap, watch, least)
		}
		stop()
		<-done
	}
}

// A sender that pauses asks the new address at once when discovery moves: what it has to tell counts as told 4 s after
// the signal, and a pause may last longer.
func TestAddressChangeEndsPause(t *testing.T) {
	p := newFakeDiscovery(t)
	p.list = List{Generation: 3, Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}}}
	p.nextAnswerDelay = busyAnswerTime + 2*promptAnswerTime
	events := make(chan any, 8)
	d := newTestClient(strings.TrimPrefix(p.server.URL, "http://"), 300, time.Second, 5, slog.New(slog.DiscardHandler), events)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Watch(ctx) }()
	awaitValue(t, p.queries, "first call")
	awaitEvent(t, events, "list")
	at := time.Now()
	d.SetAddress(strings.TrimPrefix(p.server.URL, "http://"))
	if query := awaitValue(t, p.queries, "call to the new address"); query != "" || time.Since(at) > 500*time.Millisecond {
		t.Errorf("%q %v after the move, want the whole list at once", query, time.Since(at))
	}
	stop()
	<-done
}

// A call that is out for longer than discovery takes to reject calls waits for news, and the loop is told so.
func TestAcceptedWatchIsReported(t *testing.T) {
	p := newFakeDiscovery(t)
	p.list = List{Generation: 3, Reset: true, Instances: []Instance{}}
	events := make(chan any, 8)
	d := newTestClient(strings.TrimPrefix(p.server.URL, "http://"), 2, time.Second, 5, slog.New(slog.DiscardHandler), events)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Watch(ctx) }()
	if ev := awaitEvent(t, events, "list"); ev.WatchAccepted {
		t.Error("a list is told as a watch that waits")
	}
	at := time.Now()
	if ev := awaitEvent(t, events, "a watch that waits"); !ev.WatchAccepted || time.Since(at) < 2*time.Second {
		t.Errorf("%+v after %v, want a watch that waits after the 2 s in which it may be turned away", ev, time.Since(at))
	}
	stop()
	<-done
}

// Whatever the number of senders, the answer after a pause comes before what changed since the last one counts as told
// for longer than a drain's grace.
func TestAnswersArriveWithinMaxListAge(t *testing.T) {
	for _, senders := range []int{SpreadMinSenders, 36, 80, 1 << 40} {
		d := newTestClient("127.0.0.1:1", senders, time.Second, 5, slog.New(slog.DiscardHandler), nil)
		if longest := d.timing.busyPause*108/100 + 2*time.Second; d.timing.busyPause <= 0 || longest > MaxListAge+time.Second {
			t.Errorf("%d senders: an answer may come after %v", senders, longest)
		}
	}
}

// A restarted sender, and one that takes over, goes on with the watch at once, however many senders there are: it is no
// first start, whose calls are spread.
func TestRestartedSenderWatchesWithoutDelay(t *testing.T) {
	p := newFakeDiscovery(t)
	d := newTestClient(strings.TrimPrefix(p.server.URL, "http://"), 300, time.Second, 5, slog.New(slog.DiscardHandler), make(chan any, 8))
	d.timing.firstPause = time.Hour
	d.SetInitialState(-1, true)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); d.Watch(ctx) }()
	awaitValue(t, p.queries, "call for the list")
	stop()
	<-done
}

// The next answer is compared only once the loop has applied the last one: else it would be told again, or missed.
func TestAnswerIsComparedAfterPreviousUpdateIsApplied(t *testing.T) {
	s := newScriptedDiscovery(t)
	d, events, _ := newWatchingClient(t, s)
	s.answers <- goodAnswer
	s.answers <- strings.Replace(goodAnswer, "6", "7", 1) // the same row in a newer list
	first := awaitValue(t, events, "list").(Event)
	for range 2 {
		awaitValue(t, s.queries, "call")
	}
	select {
	case ev := <-events:
		t.Fatalf("told %+v before the last update was applied", ev)
	case <-time.After(100 * time.Millisecond): // the answer has come meanwhile
	}
	if rows := d.directory.Apply(&first.Update, time.Now()); len(rows) != 1 {
		t.Errorf("the module is told %v", rows)
	}
	first.Done()
	if next := awaitEvent(t, events, "next list"); next.Update.Generation != 7 || len(next.Update.Rows) != 0 {
		t.Errorf("told %+v", next)
	}
}
