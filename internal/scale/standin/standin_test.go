package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

type listResponse struct {
	Generation int64
	Reset      bool
	Instances  []struct {
		InstanceID, HostPort, Zone, MachineType, Lifecycle string
		Cell                                               int64
		Weight                                             float64
	}
}

// testSetup is a stand-in on a network in memory, with one sender's client.
type testSetup struct {
	*Discovery
	network *Network
	client  *http.Client
}

func runInMemory(t *testing.T, cfg Config, test func(w *testSetup)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testSetup{New(cfg), NewNetwork(), nil}
		ln, err := w.network.Listen("discovery:1")
		if err != nil {
			t.Fatal(err)
		}
		go w.Serve(ln, "")
		tr := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return w.network.Dial(ctx, "n0", addr)
		}}
		w.client = &http.Client{Transport: tr}
		defer func() { ln.Close(); w.Close(); tr.CloseIdleConnections() }()
		test(w)
	})
}

func (w *testSetup) fetchList(limit time.Duration, query string) (l listResponse, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	at := time.Now()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://discovery:1/discovery/hosts"+query, nil)
	resp, err := w.client.Do(req)
	if err != nil {
		return l, time.Since(at), err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return l, time.Since(at), errors.New(resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, 8<<20)).Decode(&l)
	return l, time.Since(at), err
}

func testRows(n int) []Row {
	return MakeRows(n, 1, []string{"a", "b"}, []string{"std"}, nil)
}

func TestWholeListAndChanges(t *testing.T) {
	runInMemory(t, Config{Rows: testRows(300), Generation: 40, KeptChanges: 4}, func(w *testSetup) {
		l, _, err := w.fetchList(time.Second, "")
		if err != nil || l.Generation != 40 || !l.Reset || len(l.Instances) != 300 || l.Instances[7].Cell != 7 ||
			l.Instances[7].MachineType != "std" || l.Instances[7].HostPort != "10.0.0.7:6379" || l.Instances[7].Weight != 100 {
			t.Fatalf("%v, %v, %d entries: %+v", l.Generation, l.Reset, len(l.Instances), err)
		}
		l, took, err := w.fetchList(30*time.Second, "?from=40&hold_ms=20000")
		if err != nil || took != 20*time.Second || l.Reset || l.Generation != 40 || len(l.Instances) != 0 {
			t.Errorf("no news: %+v after %v, %v", l, took, err)
		}
		change := func(i int, state string) {
			r := w.Row(i)
			r.Lifecycle = state
			w.Set(r)
		}
		time.AfterFunc(3*time.Second, func() { change(5, "draining") })
		l, took, err = w.fetchList(30*time.Second, "?from=40&hold_ms=20000")
		if err != nil || took != 3*time.Second || l.Reset || l.Generation != 41 || len(l.Instances) != 1 || l.Instances[0].Lifecycle != "draining" {
			t.Errorf("news: %+v after %v, %v", l, took, err)
		}
		change(5, "removed")
		change(6, "draining")
		if l, _, _ = w.fetchList(time.Second, "?from=40&hold_ms=20000"); l.Reset || len(l.Instances) != 2 || l.Generation != 43 {
			t.Errorf("changes since: %+v", l)
		}
		if l, _, _ = w.fetchList(time.Second, ""); len(l.Instances) != 299 || l.Generation != 43 {
			t.Errorf("a removed entry is still there")
		}
		change(7, "draining")
		change(8, "draining")
		for query, why := range map[string]string{"?from=40&hold_ms=1": "too old", "?from=99&hold_ms=1": "unknown", "?from=x": "none"} {
			if l, _, _ = w.fetchList(time.Second, query); !l.Reset || len(l.Instances) != 299 {
				t.Errorf("%s: no whole list", why)
			}
		}
	})
}

// What is counted is what went over the connection.
func TestTrafficStats(t *testing.T) {
	runInMemory(t, Config{Rows: testRows(1000)}, func(w *testSetup) {
		w.fetchList(time.Second, "")
		time.Sleep(10 * time.Second)
		w.fetchList(time.Second, "?from=1&hold_ms=1")
		resp, err := w.client.Post("http://discovery:1/v1/outcomes", "application/json", strings.NewReader("{}\n"))
		if err != nil || resp.StatusCode != 204 {
			t.Fatal(resp, err)
		}
		resp.Body.Close()
		s := w.Stats()
		if c := s.BySender["n0"]; c.Calls != 2 || c.WholeLists != 1 || c.Notices != 1 || c.BytesOut < int64(w.ListSize()) || c.BytesOut > int64(w.ListSize())+600 ||
			c.BytesIn < 200 || c.BytesIn > 1000 || s.Total != c || s.PeakSender != c {
			t.Errorf("counted %+v, the list has %d bytes", s, w.ListSize())
		}
		if s.PeakSecond.Calls != 1 || s.PeakSecond.BytesOut < int64(w.ListSize()) || s.FirstSecond.Calls != 1 || s.FirstMinute.Calls != 2 {
			t.Errorf("by second: %+v", s)
		}
		if w.ResetStats(); w.Stats().Total != (Traffic{}) {
			t.Errorf("after the reset: %+v", w.Stats().Total)
		}
	})
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		trouble FaultKind
		within  time.Duration
		want    string // in the error, one of these; empty for a list
	}{
		{Refuse, 0, "EOF|reset"}, {Reset, 0, "EOF|reset"}, {Unresponsive, 5 * time.Second, "deadline"}, {InvalidList, 0, "invalid character '<'"},
		{Overload, 0, "503"}, {TruncatedList, 0, "unexpected EOF"}, {OlderList, 0, ""}, {EndlessList, 5 * time.Second, "EOF"}, {Delayed, 2 * time.Second, ""},
	} {
		runInMemory(t, Config{Rows: testRows(1000), Generation: 9}, func(w *testSetup) {
			w.SetFaults(Fault{Kind: c.trouble, From: time.Second, To: 20 * time.Second, Delay: 2 * time.Second})
			if l, _, err := w.fetchList(5*time.Second, ""); err != nil || l.Generation != 9 {
				t.Fatalf("%v: before it began: %v", c.trouble, err)
			}
			time.Sleep(time.Second)
			l, took, err := w.fetchList(5*time.Second, "")
			if took > c.within || !matchesError(err, c.want) {
				t.Errorf("%v: %v after %v", c.trouble, err, took)
			}
			if c.trouble == OlderList && (l.Generation >= 9 || !l.Reset) {
				t.Errorf("older: %+v", l)
			}
			time.Sleep(20 * time.Second)
			if l, _, err := w.fetchList(5*time.Second, ""); err != nil || l.Generation != 9 {
				t.Errorf("%v: after its end: %v", c.trouble, err)
			}
		})
	}
}

func matchesError(err error, want string) bool {
	if err == nil || want == "" {
		return err == nil && want == ""
	}
	return slices.ContainsFunc(strings.Split(want, "|"), func(x string) bool { return strings.Contains(err.Error(), x) })
}

// A lost watch stays silent; the next one is served. So it is after a cut.
func TestStalledWatch(t *testing.T) {
	runInMemory(t, Config{Rows: testRows(10)}, func(w *testSetup) {
		time.AfterFunc(time.Second, w.StallWatches)
		time.AfterFunc(2*time.Second, func() { w.Set(w.Row(1)) })
		if _, took, err := w.fetchList(25*time.Second, "?from=1&hold_ms=20000"); err == nil || took != 25*time.Second {
			t.Errorf("lost watch: %v after %v", err, took)
		}
		if l, took, err := w.fetchList(25*time.Second, "?from=1&hold_ms=20000"); err != nil || took != 0 || l.Generation != 2 {
			t.Errorf("the next: %v after %v, %v", l, took, err)
		}
		time.AfterFunc(time.Second, func() { w.network.Partition(func(host string) bool { return host == "n0" }) })
		time.AfterFunc(2*time.Second, func() { w.Set(w.Row(1)) })
		time.AfterFunc(9*time.Second, func() { w.network.Partition(nil) })
		if _, took, err := w.fetchList(12*time.Second, "?from=2&hold_ms=20000"); err == nil || took != 12*time.Second {
			t.Errorf("a watch that was cut: %v after %v", err, took)
		}
		if l, took, err := w.fetchList(25*time.Second, "?from=2&hold_ms=20000"); err != nil || took != 0 || l.Generation != 3 {
			t.Errorf("after the cut: %v after %v, %v", l, took, err)
		}
		w.network.Partition(func(string) bool { return true })
		w.client.CloseIdleConnections()
		if _, took, err := w.fetchList(3*time.Second, ""); err == nil || took != 3*time.Second {
			t.Errorf("a connection in a cut: %v after %v", err, took)
		}
	})
}

// Machines share the senders, and each sends at its own pace.
func TestBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, n := New(Config{Rows: testRows(1000), Machines: 2, Bandwidth: 100_000}), NewNetwork()
		ln, _ := n.Listen("discovery:1")
		go d.Serve(ln, "")
		defer func() { ln.Close(); d.Close() }()
		took := make(chan time.Duration)
		for i := range 4 {
			go func() {
				tr := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
					return n.Dial(ctx, fmt.Sprint("n", i), addr)
				}}
				defer tr.CloseIdleConnections()
				w := &testSetup{d, n, &http.Client{Transport: tr}}
				_, at, err := w.fetchList(time.Minute, "")
				if err != nil {
					t.Error(err)
				}
				took <- at
			}()
		}
		most := time.Duration(0)
		for range 4 {
			most = max(most, <-took)
		}
		if want := 2 * float64(d.ListSize()) / 100_000; most.Seconds() < want || most.Seconds() > want*1.05 {
			t.Errorf("two lists from one machine took %v, want %.3f s", most, want)
		}
	})
}

// On real sockets: a sender is the listener that it calls.
func TestRealSockets(t *testing.T) {
	d := New(Config{Rows: testRows(1000)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go d.Serve(ln, "n7")
	defer func() { ln.Close(); d.Close() }()
	get := func() error {
		resp, err := http.Get("http://" + ln.Addr().String() + "/discovery/hosts")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		var l listResponse
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil || len(l.Instances) != 1000 {
			return fmt.Errorf("%d entries, %w", len(l.Instances), err)
		}
		return nil
	}
	if err := get(); err != nil {
		t.Error(err)
	}
	if c := d.Stats().BySender["n7"]; c.Calls != 1 || c.WholeLists != 1 || c.BytesOut < int64(d.ListSize()) {
		t.Errorf("counted %+v", c)
	}
	d.SetFaultNow(Refuse, 0)
	if err := get(); err == nil {
		t.Error("refused, and yet it answers")
	}
	d.SetFaultNow(Healthy, 0)
	if err := get(); err != nil {
		t.Error(err)
	}
}

func TestEndpoint(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan Delivery, 1)
	go ServeEndpoint(ln, func(x Delivery) { got <- x })
	req, _ := http.NewRequest("POST", "http://"+ln.Addr().String()+"/inbox", strings.NewReader("body"))
	req.Header.Set("X-Trace-Id", "m1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	if x := <-got; x.ID != "m1" {
		t.Errorf("%+v", x)
	}
}
