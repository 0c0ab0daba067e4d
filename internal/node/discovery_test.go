package node

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"crossdeal/logic"
)

// A fleet watches like few senders while discovery answers soon: what changes within 0.2 s of an answer that no further
// call follows counts as told, though nothing tells it. A watch that waited for news does not tell whether discovery has
// time; the first call does. It comes with a restart, since what it would tell counts as told, and within the grace of a
// first start where the fleet is too large for its calls to spread. Where its answer is late, discovery is overbooked by
// such calls, and each of many senders pauses.
func TestWatchPausesWhereDiscoveryIsBusy(t *testing.T) {
	for _, x := range []struct {
		senders int
		back    bool
		late    time.Duration // of the first answer
		soon    time.Duration // the first call comes within that
	}{{2, false, 0, 0}, {10, false, 0, 10 * apartEach}, {10, true, 4 * prompt, 0}, {10, true, 0, 0}, {300, true, 0, 0}, {300, false, 0, time.Second}} {
		p := newPlatform(t)
		p.list = List{Generation: 3, Reset: true, Instances: []Instance{{ID: "a", Lifecycle: "up"}}}
		p.late = x.late
		events := make(chan any, 8)
		d := newDiscovery(strings.TrimPrefix(p.srv.URL, "http://"), x.senders, time.Second, 5, slog.New(slog.DiscardHandler), events)
		d.gen, d.started, d.back = 2, true, x.back // the list of the configuration
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		at := time.Now()
		go func() { defer close(done); d.watch(ctx) }()
		first, watch := "from=2&hold_ms=4000", "from=4&hold_ms=4000"
		if x.senders >= apartFrom {
			first, watch = "from=2&hold_ms=1", "from=4&hold_ms=18000"
		}
		if query := await(t, p.asked, "first call"); query != first || time.Since(at) > x.soon+100*time.Millisecond {
			t.Errorf("%+v: %s %v after the start, want %s", x, query, time.Since(at), first)
		}
		await(t, events, "list")
		at = time.Now()
		await(t, p.asked, "watch")
		if gap := time.Since(at); gap > 100*time.Millisecond {
			t.Errorf("%+v: the watch began %v after the list", x, gap)
		}
		<-time.After(apartBusy + 50*time.Millisecond)
		p.set(func() { p.list = List{Generation: 4, Instances: []Instance{{ID: "a", Lifecycle: "up"}}} })
		await(t, events, "news")
		at = time.Now()
		query := await(t, p.asked, "next watch")
		least := time.Duration(0)
		if x.late > 0 {
			least = time.Duration(x.senders) * apartEach * 90 / 100
		}
		if gap := time.Since(at); gap < least || least == 0 && gap > 100*time.Millisecond || query != watch {
			t.Errorf("%+v: %s after %v, want %s after %v at least", x, query, gap, watch, least)
		}
		stop()
		<-done
	}
}

// A sender that finds its folder in use comes back on a list that may be old, also if its journal is empty, as after a
// rewrite with nothing owed or with no message ever; one that finds an empty folder starts anew.
func TestJournalShowsARestart(t *testing.T) {
	cfg, err := ParseConfig(configText(newPlatform(t), List{Generation: 1}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	for i, want := range []bool{false, true, true, true} {
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		n.resume()
		if old := n.next[0].(logic.Endpoints).Old; old != want || n.disc.back != want {
			t.Errorf("old %v, back %v, want %v", old, n.disc.back, want)
		}
		switch i { // 0: nothing was ever written
		case 1:
			mustAppend(t, n.journal, record{Op: opDone, ID: "m"})
		case 2:
			if err := n.journal.Compact(); err != nil || n.journal.size != 0 {
				t.Fatalf("%d bytes after a rewrite with nothing owed, %v", n.journal.size, err)
			}
		}
		n.close()
	}
}

// On a long day endpoints come and go: what is gone for long is forgotten, but for what is in use, and no number is
// given twice.
func TestDirectoryForgetsWhatIsGone(t *testing.T) {
	d := newDirectory(&Config{})
	d.take(List{Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}, {ID: "b", HostPort: "h:2", Lifecycle: "up"},
		{ID: "c", HostPort: "h:3", Lifecycle: "up"}, {ID: "d", HostPort: "h:4", Lifecycle: "up"}}})
	d.take(List{Instances: []Instance{{ID: "a", Lifecycle: "removed"}, {ID: "b", Lifecycle: "removed"}}})
	d.take(List{Reset: true, Instances: []Instance{{ID: "d", HostPort: "h:4", Lifecycle: "up"}}})
	used := func(name string, _ logic.EndpointID) bool { return name == "b" }
	if d.forget(time.Now(), used); len(d.ids) != 4 {
		t.Errorf("forgotten at once: %v", d.ids)
	}
	d.forget(time.Now().Add(goneKept+time.Second), used)
	if len(d.ids) != 2 || len(d.eps) != 2 || d.ids["b"] != 2 || d.ids["d"] != 4 || len(d.gone) != 1 {
		t.Errorf("kept %v, %v, gone %v", d.ids, d.eps, d.gone)
	}
	if id := d.number("a"); id != 5 {
		t.Errorf("number %d is given again", id)
	}
	heir := newDirectory(&Config{})
	if heir.adopt(d.ids); heir.number("e") != 6 {
		t.Errorf("the heir's numbers: %v", heir.ids)
	}
}

// A sender that pauses asks the new address at once when discovery moves: what it has to tell counts as told 4 s after
// the signal, and a pause may last longer.
func TestMoveEndsAPause(t *testing.T) {
	p := newPlatform(t)
	p.list = List{Generation: 3, Reset: true, Instances: []Instance{{ID: "a", Lifecycle: "up"}}}
	p.late = apartBusy + 2*prompt
	events := make(chan any, 8)
	d := newDiscovery(strings.TrimPrefix(p.srv.URL, "http://"), 300, time.Second, 5, slog.New(slog.DiscardHandler), events)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.watch(ctx) }()
	await(t, p.asked, "first call")
	await(t, events, "list")
	at := time.Now()
	d.move(strings.TrimPrefix(p.srv.URL, "http://"))
	if query := await(t, p.asked, "call to the new address"); query != "" || time.Since(at) > 500*time.Millisecond {
		t.Errorf("%q %v after the move, want the whole list at once", query, time.Since(at))
	}
	stop()
	<-done
}

// A call that is out for longer than discovery turns calls away waits for news, and the loop is told so.
func TestWatchThatWaitsIsTold(t *testing.T) {
	p := newPlatform(t)
	p.list = List{Generation: 3, Reset: true, Instances: []Instance{}}
	events := make(chan any, 8)
	d := newDiscovery(strings.TrimPrefix(p.srv.URL, "http://"), 2, time.Second, 5, slog.New(slog.DiscardHandler), events)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.watch(ctx) }()
	if ev := await(t, events, "list").(listEvent); ev.watched {
		t.Error("a list is told as a watch that waits")
	}
	at := time.Now()
	if ev := await(t, events, "a watch that waits").(listEvent); !ev.watched || time.Since(at) < 2*time.Second {
		t.Errorf("%+v after %v, want a watch that waits after the 2 s in which it may be turned away", ev, time.Since(at))
	}
	stop()
	<-done
}

// Whatever the number of senders, the answer after a pause comes before what changed since the last one counts as told
// for longer than a drain's grace.
func TestAnswersComeWithinListAge(t *testing.T) {
	for _, senders := range []int{apartFrom, 36, 80, 1 << 40} {
		d := newDiscovery("127.0.0.1:1", senders, time.Second, 5, slog.New(slog.DiscardHandler), nil)
		if longest := d.apart*108/100 + 2*time.Second; d.apart <= 0 || longest > listAge+time.Second {
			t.Errorf("%d senders: an answer may come after %v", senders, longest)
		}
	}
}
