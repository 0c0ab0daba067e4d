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

func runInMemory(t *testing.T, cfg Config, test func(setup *testSetup)) {
	synctest.Test(t, func(t *testing.T) {
		setup := &testSetup{New(cfg), NewNetwork(), nil}
		ln, err := setup.network.Listen("discovery:1")
		if err != nil {
			t.Fatal(err)
		}
		go setup.Serve(ln, "")
		tr := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return setup.network.Dial(ctx, "n0", addr)
		}}
		setup.client = &http.Client{Transport: tr}
		defer func() { ln.Close(); setup.Close(); tr.CloseIdleConnections() }()
		test(setup)
	})
}

func (s *testSetup) fetchList(limit time.Duration, query string) (list listResponse, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	start := time.Now()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://discovery:1/discovery/hosts"+query, nil)
	resp, err := s.client.Do(req)
	if err != nil {
		return list, time.Since(start), err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return list, time.Since(start), errors.New(resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, 8<<20)).Decode(&list)
	return list, time.Since(start), err
}

func testRows(n int) []Row {
	return MakeRows(n, 1, []string{"a", "b"}, []string{"std"}, nil)
}

func TestWholeListAndChanges(t *testing.T) {
	runInMemory(t, Config{Rows: testRows(300), Generation: 40, KeptChanges: 4}, func(setup *testSetup) {
		list, _, err := setup.fetchList(time.Second, "")
		if err != nil || list.Generation != 40 || !list.Reset || len(list.Instances) != 300 || list.Instances[7].Cell != 7 ||
			list.Instances[7].MachineType != "std" || list.Instances[7].HostPort != "10.0.0.7:6379" || list.Instances[7].Weight != 100 {
			t.Fatalf("whole list: generation %v, reset %v, %d entries, error %+v", list.Generation, list.Reset, len(list.Instances), err)
		}
		list, took, err := setup.fetchList(30*time.Second, "?from=40&hold_ms=20000")
		if err != nil || took != 20*time.Second || list.Reset || list.Generation != 40 || len(list.Instances) != 0 {
			t.Errorf("watch without a change: %+v after %v, %v", list, took, err)
		}
		change := func(i int, state string) {
			row := setup.Row(i)
			row.Lifecycle = state
			setup.Set(row)
		}
		time.AfterFunc(3*time.Second, func() { change(5, "draining") })
		list, took, err = setup.fetchList(30*time.Second, "?from=40&hold_ms=20000")
		if err != nil || took != 3*time.Second || list.Reset || list.Generation != 41 || len(list.Instances) != 1 || list.Instances[0].Lifecycle != "draining" {
			t.Errorf("watch with a change after 3 s: %+v after %v, %v", list, took, err)
		}
		change(5, "removed")
		change(6, "draining")
		if list, _, _ = setup.fetchList(time.Second, "?from=40&hold_ms=20000"); list.Reset || len(list.Instances) != 2 || list.Generation != 43 {
			t.Errorf("changes since generation 40: %+v", list)
		}
		if list, _, _ = setup.fetchList(time.Second, ""); len(list.Instances) != 299 || list.Generation != 43 {
			t.Errorf("the whole list after a removal does not have 299 entries and generation 43")
		}
		change(7, "draining")
		change(8, "draining")
		for query, why := range map[string]string{"?from=40&hold_ms=1": "too old", "?from=99&hold_ms=1": "unknown", "?from=x": "none"} {
			if list, _, _ = setup.fetchList(time.Second, query); !list.Reset || len(list.Instances) != 299 {
				t.Errorf("generation %s: answer is not the whole list", why)
			}
		}
	})
}

// TestTrafficStats checks that the counters match the bytes and requests on the connection.
func TestTrafficStats(t *testing.T) {
	runInMemory(t, Config{Rows: testRows(1000)}, func(setup *testSetup) {
		setup.fetchList(time.Second, "")
		time.Sleep(10 * time.Second)
		setup.fetchList(time.Second, "?from=1&hold_ms=1")
		resp, err := setup.client.Post("http://discovery:1/v1/outcomes", "application/json", strings.NewReader("{}\n"))
		if err != nil || resp.StatusCode != 204 {
			t.Fatal(resp, err)
		}
		resp.Body.Close()
		stats := setup.Stats()
		if c := stats.BySender["n0"]; c.Calls != 2 || c.WholeLists != 1 || c.Notices != 1 || c.BytesOut < int64(setup.ListSize()) || c.BytesOut > int64(setup.ListSize())+600 ||
			c.BytesIn < 200 || c.BytesIn > 1000 || stats.Total != c || stats.PeakSender != c {
			t.Errorf("stats are %+v, the list has %d bytes", stats, setup.ListSize())
		}
		if stats.PeakSecond.Calls != 1 || stats.PeakSecond.BytesOut < int64(setup.ListSize()) || stats.FirstSecond.Calls != 1 || stats.FirstMinute.Calls != 2 {
			t.Errorf("stats by second are %+v", stats)
		}
		if setup.ResetStats(); setup.Stats().Total != (Traffic{}) {
			t.Errorf("total after ResetStats is %+v", setup.Stats().Total)
		}
	})
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		kind   FaultKind
		within time.Duration
		want   string // alternatives, one of which the error contains; empty if a list is expected
	}{
		{Refuse, 0, "EOF|reset"}, {Reset, 0, "EOF|reset"}, {Unresponsive, 5 * time.Second, "deadline"}, {InvalidList, 0, "invalid character '<'"},
		{Overload, 0, "503"}, {TruncatedList, 0, "unexpected EOF"}, {OlderList, 0, ""}, {EndlessList, 5 * time.Second, "EOF"}, {Delayed, 2 * time.Second, ""},
	} {
		runInMemory(t, Config{Rows: testRows(1000), Generation: 9}, func(setup *testSetup) {
			setup.SetFaults(Fault{Kind: c.kind, From: time.Second, To: 20 * time.Second, Delay: 2 * time.Second})
			if list, _, err := setup.fetchList(5*time.Second, ""); err != nil || list.Generation != 9 {
				t.Fatalf("%v: list before the fault: %v", c.kind, err)
			}
			time.Sleep(time.Second)
			list, took, err := setup.fetchList(5*time.Second, "")
			if took > c.within || !matchesError(err, c.want) {
				t.Errorf("%v: got error %v after %v", c.kind, err, took)
			}
			if c.kind == OlderList && (list.Generation >= 9 || !list.Reset) {
				t.Errorf("OlderList: got %+v", list)
			}
			time.Sleep(20 * time.Second)
			if list, _, err := setup.fetchList(5*time.Second, ""); err != nil || list.Generation != 9 {
				t.Errorf("%v: list after the fault: %v", c.kind, err)
			}
		})
	}
}

func matchesError(err error, want string) bool {
	if err == nil || want == "" {
		return err == nil && want == ""
	}
	return slices.ContainsFunc(strings.Split(want, "|"), func(alternative string) bool { return strings.Contains(err.Error(), alternative) })
}

// TestStalledWatch checks that a stalled watch gets no answer and that the next watch is served, and the same for a
// watch that is open during a partition.
func TestStalledWatch(t *testing.T) {
	runInMemory(t, Config{Rows: testRows(10)}, func(setup *testSetup) {
		time.AfterFunc(time.Second, setup.StallWatches)
		time.AfterFunc(2*time.Second, func() { setup.Set(setup.Row(1)) })
		if _, took, err := setup.fetchList(25*time.Second, "?from=1&hold_ms=20000"); err == nil || took != 25*time.Second {
			t.Errorf("stalled watch: got error %v after %v", err, took)
		}
		if list, took, err := setup.fetchList(25*time.Second, "?from=1&hold_ms=20000"); err != nil || took != 0 || list.Generation != 2 {
			t.Errorf("watch after the stalled one: %v after %v, %v", list, took, err)
		}
		time.AfterFunc(time.Second, func() { setup.network.Partition(func(host string) bool { return host == "n0" }) })
		time.AfterFunc(2*time.Second, func() { setup.Set(setup.Row(1)) })
		time.AfterFunc(9*time.Second, func() { setup.network.Partition(nil) })
		if _, took, err := setup.fetchList(12*time.Second, "?from=2&hold_ms=20000"); err == nil || took != 12*time.Second {
			t.Errorf("watch during the partition: got error %v after %v", err, took)
		}
		if list, took, err := setup.fetchList(25*time.Second, "?from=2&hold_ms=20000"); err != nil || took != 0 || list.Generation != 3 {
			t.Errorf("watch after the partition: %v after %v, %v", list, took, err)
		}
		setup.network.Partition(func(string) bool { return true })
		setup.client.CloseIdleConnections()
		if _, took, err := setup.fetchList(3*time.Second, ""); err == nil || took != 3*time.Second {
			t.Errorf("new connection during a partition: got error %v after %v", err, took)
		}
	})
}

// TestBandwidth checks that the senders are spread over the machines and that each machine sends at its bandwidth.
func TestBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, n := New(Config{Rows: testRows(1000), Machines: 2, Bandwidth: 100_000}), NewNetwork()
		ln, _ := n.Listen("discovery:1")
		go d.Serve(ln, "")
		defer func() { ln.Close(); d.Close() }()
		durations := make(chan time.Duration)
		for i := range 4 {
			go func() {
				tr := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
					return n.Dial(ctx, fmt.Sprint("n", i), addr)
				}}
				defer tr.CloseIdleConnections()
				setup := &testSetup{d, n, &http.Client{Transport: tr}}
				_, took, err := setup.fetchList(time.Minute, "")
				if err != nil {
					t.Error(err)
				}
				durations <- took
			}()
		}
		slowest := time.Duration(0)
		for range 4 {
			slowest = max(slowest, <-durations)
		}
		if want := 2 * float64(d.ListSize()) / 100_000; slowest.Seconds() < want || slowest.Seconds() > want*1.05 {
			t.Errorf("two lists from one machine took %v, want %.3f s to 5%% more", slowest, want)
		}
	})
}

// TestRealSockets checks on TCP that requests are counted for the sender whose listener received them.
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
		var list listResponse
		if err := json.NewDecoder(resp.Body).Decode(&list); err != nil || len(list.Instances) != 1000 {
			return fmt.Errorf("%d entries, %w", len(list.Instances), err)
		}
		return nil
	}
	if err := get(); err != nil {
		t.Error(err)
	}
	if c := d.Stats().BySender["n7"]; c.Calls != 1 || c.WholeLists != 1 || c.BytesOut < int64(d.ListSize()) {
		t.Errorf("stats of the sender are %+v", c)
	}
	d.SetFaultNow(Refuse, 0)
	if err := get(); err == nil {
		t.Error("got an answer while connections are refused")
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
	deliveries := make(chan Delivery, 1)
	go ServeEndpoint(ln, func(delivery Delivery) { deliveries <- delivery })
	req, _ := http.NewRequest("POST", "http://"+ln.Addr().String()+"/inbox", strings.NewReader("body"))
	req.Header.Set("X-Trace-Id", "m1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	if delivery := <-deliveries; delivery.ID != "m1" {
		t.Errorf("delivery is %+v, want ID m1", delivery)
	}
}
