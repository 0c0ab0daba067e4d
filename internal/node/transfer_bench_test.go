package node

import (
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// newLargeNode returns a node with a large state, as far as a transfer needs it: a number of destinations with two
// endpoints each, which have all served messages.
func newLargeNode(t testing.TB, destinations int) *Node {
	t.Helper()
	cfg := newLargeConfig(t)
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	rows := make([]discovery.Instance, 0, 2*destinations)
	for i := range 2 * destinations {
		rows = append(rows, discovery.Instance{ID: fmt.Sprintf("instance-%06d", i), HostPort: fmt.Sprintf("10.%d.%d.%d:8080",
			i>>16, i>>8&255, i&255), Zone: "a", Kind: "std", Destination: int64(i / 2), Lifecycle: "up", Weight: 30})
	}
	entries := n.directory.Apply(&discovery.Update{Generation: 1, Whole: true, Rows: rows}, time.Now())
	n.sender.Step(0, []logic.Event{logic.ListUpdate{Form: logic.ListWhole, Entries: entries}})
	now, id := logic.Micros(0), 0
	for range 3 {
		for d := range destinations {
			now += 50 * logic.Second / logic.Micros(destinations)
			id++
			call := logic.NewMessage{ID: fmt.Sprint(id), TimeLeft: 10 * logic.Second, Destination: int64(d), Tenant: -1}
			for _, a := range n.sender.Step(now, []logic.Event{call}) {
				if c, ok := a.(logic.CallOut); ok {
					took := 20_000 + logic.Micros(id*7919%60_000)
					n.sender.Step(now+1, []logic.Event{logic.AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Outcome: logic.Completed,
						MessageEnded: true, Duration: took}})
				}
			}
		}
	}
	return n
}

func newLargeConfig(t testing.TB) *Config {
	t.Helper()
	cfg, err := ParseConfig(configText(&testPlatform{server: &httptest.Server{URL: "http://127.0.0.1:1"}}, discovery.List{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	cfg.Deployment.Settings.Senders, cfg.Deployment.Settings.Slots = 540, 4000
	return cfg
}

// transferState lets a new node take over from an owner through a socket. It returns the new node, the time in which
// neither decides anything, and the size of the state in bytes.
func transferState(t testing.TB, owner *Node, format string) (*Node, time.Duration, int) {
	t.Helper()
	dir := owner.cfg.StateDir
	var err error
	if owner.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer owner.listener.Close()
	ln, err := listenHandover(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go owner.acceptSuccessors(t.Context(), ln)
	cfg := newLargeConfig(t)
	cfg.StateDir = dir
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	sent, size := make(chan error, 1), 0
	start := time.Now()
	go func() {
		next := <-owner.successors
		defer next.conn.Close()
		state, conns, _ := owner.packState(next.takesRows)
		err := owner.sendState(next, state, conns, nil)
		size = state.bytesSent
		sent <- err
	}()
	received, err := n.requestState(format)
	if err != nil {
		t.Fatal(err)
	}
	received.acknowledge()
	n.adopt(t.Context(), received)
	took := time.Since(start)
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	n.journal.Close()
	n.lockFile.Close()
	received.listener.Close()
	return n, took, size
}

// BenchmarkTransfer measures a state transfer between two nodes in one process: the size of the state, the time in
// which neither decides anything, and the memory allocated on both sides.
func BenchmarkTransfer(b *testing.B) {
	for _, destinations := range []int{1000, 10_000, 100_000} {
		for _, format := range []string{handoverRequestText, handoverRequestRows} {
			b.Run(fmt.Sprintf("dests=%d/%s", destinations, format[len("take "):]), func(b *testing.B) {
				owner := newLargeNode(b, destinations)
				for b.Loop() {
					b.StopTimer()
					runtime.GC()
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					b.StartTimer()
					n, took, size := transferState(b, owner, format)
					b.ReportMetric(float64(size)/1e6, "MB-sent")
					b.StopTimer()
					runtime.ReadMemStats(&after)
					b.ReportMetric(float64(took.Milliseconds()), "ms")
					b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1e6, "MB-allocated")
					b.ReportMetric(float64(after.Sys)/1e6, "MB-sys")
					runtime.KeepAlive(n)
					b.StartTimer()
				}
			})
		}
	}
}
