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

// newLargeNode is the owner of a state with so many destinations of two endpoints each, all of which served some messages,
// as far as a transfer needs it.
func newLargeNode(t testing.TB, dests int) *Node {
	t.Helper()
	cfg := newLargeConfig(t)
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	rows := make([]discovery.Instance, 0, 2*dests)
	for i := range 2 * dests {
		rows = append(rows, discovery.Instance{ID: fmt.Sprintf("instance-%06d", i), HostPort: fmt.Sprintf("10.%d.%d.%d:8080",
			i>>16, i>>8&255, i&255), Zone: "a", Kind: "std", Destination: int64(i / 2), Lifecycle: "up", Weight: 30})
	}
	entries := n.directory.Apply(&discovery.Update{Generation: 1, Whole: true, Rows: rows}, time.Now())
	n.sender.Step(0, []logic.Event{logic.ListUpdate{Form: logic.ListFull, Entries: entries}})
	now, id := logic.Micros(0), 0
	for range 3 {
		for d := range dests {
			now += 50 * logic.Second / logic.Micros(dests)
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

// transferState lets a new node take over from an owner through a socket and returns it, with the time that neither decided.
func transferState(t testing.TB, owner *Node, word string) (*Node, time.Duration, int) {
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
		to := <-owner.successors
		defer to.conn.Close()
		p, conns, _ := owner.packState(to.takesRows)
		err := owner.sendState(to, p, conns, nil)
		size = p.bytesSent
		sent <- err
	}()
	l, err := n.requestState(word)
	if err != nil {
		t.Fatal(err)
	}
	l.acknowledge()
	n.adopt(t.Context(), l)
	took := time.Since(start)
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	n.journal.Close()
	n.lockFile.Close()
	l.listener.Close()
	return n, took, size
}

// BenchmarkTransfer is a state transfer between two nodes of one process: the state in bytes, the time in which neither
// decides, and what is allocated for it on both sides.
func BenchmarkTransfer(b *testing.B) {
	for _, dests := range []int{1000, 10_000, 100_000} {
		for _, word := range []string{handoverRequestText, handoverRequestRows} {
			b.Run(fmt.Sprintf("dests=%d/%s", dests, word[len("take "):]), func(b *testing.B) {
				owner := newLargeNode(b, dests)
				for b.Loop() {
					b.StopTimer()
					runtime.GC()
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					b.StartTimer()
					n, took, size := transferState(b, owner, word)
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
